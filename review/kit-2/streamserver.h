// A model engine that streams short answers, and that one part of a prompt may crash.
#pragma once

#include "kit.h"

namespace Review {

/** What reached the engines and what became of it. */
struct EngineLog {
    struct Arrival {
        double at = 0;
        std::string request;
        bool isDeadly = false;
    };

    std::mutex mutex;
    std::vector<Arrival> arrivals;
    std::vector<double> crashes;
    std::set<std::string> begun; ///< Requests on which an engine has begun to write an answer and was not crashed by them.
    std::size_t lostBeside = 0; ///< Runs of sound requests that a crash ended.
};

class StreamServer {
public:
    StreamServer(std::string name, std::string service, Store& store, EngineLog& log, Record& record)
        : name(std::move(name))
        , service(std::move(service))
        , store(store)
        , log(log)
        , record(record)
    {
        this->start();
    }

    double downTime = 3; ///< Seconds from a crash to the next start.
    std::string deadlyPart; ///< Id of the part that crashes the engine; empty for none.

private:
    /** One life of the engine, with its own id and address. */
    struct Life {
        std::string id;
        std::int64_t born = 0;
        int socket = -1;
        int port = 0;
        std::atomic<bool> isOver { false };
        std::mutex mutex;
        std::set<int> connections;
        std::atomic<int> running { 0 };
    };

    auto start() -> void
    {
        const auto life = std::make_shared<Life>();
        life->id = this->name + "-" + std::to_string(++this->starts);
        life->born = unixMs();
        life->socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        auto address = addressOf("127.0.0.1", 0);
        socklen_t size = sizeof address;
        if (bind(life->socket, reinterpret_cast<sockaddr*>(&address), size) != 0 || listen(life->socket, 512) != 0 || getsockname(life->socket, reinterpret_cast<sockaddr*>(&address), &size) != 0)
            std::_Exit(exitNotRun);
        life->port = ntohs(address.sin_port);
        this->record.write("engine " + life->id + " starts");
        this->store.put("servers/" + life->id,
            Json { { "backend", this->service }, { "address", "127.0.0.1:" + std::to_string(life->port) }, { "zone", "a" }, { "version", "v1" }, { "capacity", 64 }, { "state", "ready" }, { "cold-left-ms", 0 }, { "stage", "both" }, { "models", Json::array() }, { "born", life->born }, { "seq", 1 } }.dump());
        std::thread([this, life] {
            while (!life->isOver) {
                pollfd entry { life->socket, POLLIN, 0 };
                if (poll(&entry, 1, 20) <= 0)
                    continue;
                const auto accepted = accept4(life->socket, nullptr, nullptr, SOCK_CLOEXEC);
                if (accepted >= 0)
                    std::thread([this, life, accepted] { this->serve(*life, accepted); }).detach();
            }
            ::close(life->socket);
        }).detach();
    }

    auto crash(Life& life) -> void
    {
        if (life.isOver.exchange(true))
            return;
        {
            const std::lock_guard lock(life.mutex);
            const linger hard { 1, 0 };
            for (const auto socket : life.connections) {
                setsockopt(socket, SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
                shutdown(socket, SHUT_RDWR);
            }
        }
        {
            const std::lock_guard lock(this->log.mutex);
            this->log.crashes.push_back(sinceStart());
            this->log.lostBeside += static_cast<std::size_t>(std::max(0, life.running.load() - 1));
        }
        this->record.write("engine " + life.id + " crashes");
        std::thread([this, id = life.id] {
            sleepFor(this->downTime);
            this->start();
            sleepFor(1.1); // The old entry lapses after three silent heartbeats.
            this->store.remove("servers/" + id);
        }).detach();
    }

    auto serve(Life& life, int socket) -> void
    {
        Connection connection(socket);
        {
            const std::lock_guard lock(life.mutex);
            life.connections.insert(socket);
        }
        while (!life.isOver) {
            auto request = connection.readMessage(Clock::now() + 10s);
            if (!request || life.isOver || !this->answer(life, connection, *request))
                break;
        }
        const std::lock_guard lock(life.mutex);
        life.connections.erase(socket);
        if (life.isOver)
            connection.reset();
        else
            connection.close();
    }

    auto answer(Life& life, Connection& connection, const Message& request) -> bool
    {
        const auto id = request.header("X-Attempt-Id");
        const auto expected = request.header("X-Expect-Instance");
        if (!expected.empty() && expected != life.id)
            return connection.send("HTTP/1.1 421 X\r\nX-Attempt-Id: " + id + "\r\nX-Not-Executed: 1\r\nX-Instance-Id: " + life.id + "\r\nContent-Length: 0\r\n\r\n");
        const auto isDeadly = !this->deadlyPart.empty() && request.header("X-Prompt-Prefix").find(this->deadlyPart + ":") != std::string::npos;
        {
            const std::lock_guard lock(this->log.mutex);
            this->log.arrivals.push_back({ sinceStart(), id, isDeadly });
        }
        this->record.write("reaches " + life.id + " " + id + (isDeadly ? " with the deadly part" : ""));
        ++life.running;
        const auto isGood = this->stream(life, connection, request, id, isDeadly);
        --life.running;
        return isGood;
    }

    auto stream(Life& life, Connection& connection, const Message& request, const std::string& id, bool isDeadly) -> bool
    {
        sleepFor(0.03);
        if (life.isOver)
            return false;
        if (isDeadly) {
            this->crash(life);
            return false;
        }
        {
            const std::lock_guard lock(this->log.mutex);
            this->log.begun.insert(id);
        }
        const auto chunk = [](const std::string& text) {
            char size[16];
            std::snprintf(size, sizeof size, "%zx\r\n", text.size());
            return size + text + "\r\n";
        };
        if (!connection.send("HTTP/1.1 200 OK\r\nX-Attempt-Id: " + id + "\r\nX-Response-Seal: s." + id + "\r\nContent-Type: text/event-stream\r\nKeep-Alive: timeout=10\r\nTransfer-Encoding: chunked\r\n\r\n"))
            return false;
        for (auto event = std::atoi(request.header("Last-Event-Id").c_str()) + 1; event <= 8; ++event) {
            if (life.isOver || connection.isClosedByOther() || !connection.send(chunk("id: " + std::to_string(event) + "\ndata: " + id + "\n\n")))
                return false;
            sleepFor(0.015);
        }
        return connection.send("0\r\n\r\n");
    }

    std::string name;
    std::string service;
    Store& store;
    EngineLog& log;
    Record& record;
    int starts = 0;
};

} // namespace Review
