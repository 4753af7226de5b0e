// A server of a plain service: a number of slots, a short queue, and a refusal when both are full.
#pragma once

#include "kit.h"

namespace Review {

/** What happened to each request at the servers. */
class RunBook {
public:
    auto ran(const std::string& id, const std::string& server) -> void
    {
        const std::lock_guard lock(this->mutex);
        this->runs[id].push_back(server);
    }

    auto refused(const std::string& id) -> void
    {
        const std::lock_guard lock(this->mutex);
        ++this->refusals[id];
    }

    auto runsOf(const std::string& id) -> std::size_t
    {
        const std::lock_guard lock(this->mutex);
        const auto found = this->runs.find(id);
        return found == this->runs.end() ? 0 : found->second.size();
    }

    auto allRuns() -> std::map<std::string, std::vector<std::string>>
    {
        const std::lock_guard lock(this->mutex);
        return this->runs;
    }

    auto refusalCount() -> std::size_t
    {
        const std::lock_guard lock(this->mutex);
        std::size_t sum = 0;
        for (const auto& [id, count] : this->refusals)
            sum += static_cast<std::size_t>(count);
        return sum;
    }

private:
    std::mutex mutex;
    std::map<std::string, std::vector<std::string>> runs;
    std::map<std::string, int> refusals;
};

class PlainServer {
public:
    PlainServer(std::string id, const std::string& ip, int slots, int queue, std::chrono::milliseconds work, RunBook& book, Record& record)
        : id(std::move(id))
        , slots(slots)
        , queue(queue)
        , work(work)
        , book(book)
        , record(record)
        , listener(ip, [this](Connection& connection) { this->serve(connection); })
    {
    }

    auto registration(const std::string& service, const std::string& state = "ready") -> std::string
    {
        return Json { { "backend", service }, { "address", this->listener.address() }, { "zone", "a" }, { "version", "v1" }, { "capacity", this->slots }, { "state", state }, { "cold-left-ms", 0 }, { "born", this->born }, { "seq", ++this->sequence } }.dump();
    }

    std::atomic<bool> isDoubling { false }; ///< A part of the answers comes a second time, late: just before the next answer on the connection.
    double doubledPart = 0.03; ///< The largest part of the answers in that time that comes a second time.
    std::atomic<int> doubled { 0 };
    std::string id;

private:
    auto head(const std::string& request, int status, const std::string& more, std::size_t size) -> std::string
    {
        return "HTTP/1.1 " + std::to_string(status) + " X\r\nX-Attempt-Id: " + request + "\r\nX-Instance-Id: " + this->id + "\r\nX-Instance-Load: " + std::to_string(this->running) + "," + std::to_string(this->waiting)
            + "," + std::to_string(this->slots) + "\r\nKeep-Alive: timeout=10\r\n" + more + "Content-Length: " + std::to_string(size) + "\r\n\r\n";
    }

    auto serve(Connection& connection) -> void
    {
        std::string extra;
        while (auto request = connection.readMessage(Clock::now() + 10s)) {
            const auto requestId = request->header("X-Attempt-Id");
            const auto expected = request->header("X-Expect-Instance");
            if (!expected.empty() && expected != this->id) {
                if (!connection.send(this->head(requestId, 421, "X-Not-Executed: 1\r\n", 0)))
                    return;
                continue;
            }
            const auto isRun = this->takeSlot(connection);
            if (isRun && connection.isClosedByOther()) {
                this->freeSlot();
                return;
            }
            std::string answer;
            if (isRun) {
                this->book.ran(requestId, this->id);
                this->record.write("run " + requestId + " at " + this->id);
                std::this_thread::sleep_for(this->work);
                this->freeSlot();
                const std::string body = "done " + requestId;
                answer = this->head(requestId, 200, "X-Response-Seal: s." + requestId + "\r\n", body.size()) + body;
            } else {
                this->book.refused(requestId);
                answer = this->head(requestId, 503, "X-Not-Executed: 1\r\n", 0);
                this->record.write("refused " + requestId + " at " + this->id);
            }
            if (!extra.empty())
                this->record.write("late extra answer before that to " + requestId + " at " + this->id + ": " + extra.substr(0, extra.find('\r')) + " for " + extra.substr(extra.find("X-Attempt-Id: ") + 14, 16));
            if (!connection.send(extra + answer))
                return;
            extra.clear();
            if (this->mayDouble(!isRun))
                extra = answer;
        }
    }

    auto mayDouble(bool isRefusal) -> bool
    {
        if (!this->isDoubling)
            return false;
        const std::lock_guard lock(this->mutex);
        ++this->answersInTrouble;
        if (!isRefusal || this->doubled + 1 > this->doubledPart * this->answersInTrouble)
            return false;
        ++this->doubled;
        return true;
    }

    auto takeSlot(Connection& connection) -> bool
    {
        std::unique_lock lock(this->mutex);
        if (this->running < this->slots) {
            ++this->running;
            return true;
        }
        if (this->waiting >= this->queue)
            return false;
        ++this->waiting;
        while (this->running >= this->slots && !connection.isClosedByOther())
            this->slotFreed.wait_for(lock, 50ms);
        --this->waiting;
        ++this->running;
        return true;
    }

    auto freeSlot() -> void
    {
        const std::lock_guard lock(this->mutex);
        --this->running;
        this->slotFreed.notify_one();
    }

    int slots;
    int queue;
    std::chrono::milliseconds work;
    RunBook& book;
    Record& record;
    std::mutex mutex;
    std::condition_variable slotFreed;
    std::atomic<int> running { 0 };
    std::atomic<int> waiting { 0 };
    int answersInTrouble = 0;
    std::int64_t born = unixMs();
    int sequence = 0;

public:
    Listener listener;
};

} // namespace Review
