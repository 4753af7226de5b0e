// Stand-ins of the review: the platform's store and API, servers and callers, all on loopback addresses.
// They speak what PROTOCOL.md says. Each case adds its disruption in its own program.
#pragma once

#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <nlohmann/json.hpp>
#include <optional>
#include <poll.h>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace Review {

using Json = nlohmann::json;
using Clock = std::chrono::steady_clock;
using namespace std::chrono_literals;

constexpr int exitHeld = 0;
constexpr int exitBroken = 1;
constexpr int exitNotRun = 2;

inline const Clock::time_point programStart = Clock::now();

inline auto sinceStart() -> double { return std::chrono::duration<double>(Clock::now() - programStart).count(); }

inline auto unixMs() -> std::int64_t { return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count(); }

inline auto sleepFor(double seconds) -> void { std::this_thread::sleep_for(std::chrono::duration<double>(seconds)); }

/** Writes what was sent, answered and run, a line each, with the time since the start. */
class Record {
public:
    explicit Record(const std::string& path)
        : file(path)
    {
    }

    auto write(const std::string& text) -> void
    {
        char time[32];
        std::snprintf(time, sizeof time, "%9.3f ", sinceStart());
        const std::lock_guard lock(this->mutex);
        this->file << time << text << "\n"
                   << std::flush;
    }

private:
    std::mutex mutex;
    std::ofstream file;
};

/** One HTTP message. */
struct Message {
    std::string method;
    std::string target;
    int status = 0;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;

    auto header(const char* name) const -> std::string
    {
        for (const auto& [key, value] : this->headers) {
            if (strcasecmp(key.c_str(), name) == 0)
                return value;
        }
        return "";
    }

    auto path() const -> std::string { return this->target.substr(0, this->target.find('?')); }

    auto query(const std::string& name) const -> std::string
    {
        const auto mark = this->target.find('?');
        if (mark == std::string::npos)
            return "";
        std::istringstream parts(this->target.substr(mark + 1));
        std::string part;
        while (std::getline(parts, part, '&')) {
            if (part.rfind(name + "=", 0) != 0)
                continue;
            std::string value;
            for (std::size_t i = name.size() + 1; i < part.size(); ++i) {
                if (part[i] == '%' && i + 2 < part.size()) {
                    value += static_cast<char>(std::strtol(part.substr(i + 1, 2).c_str(), nullptr, 16));
                    i += 2;
                } else {
                    value += part[i];
                }
            }
            return value;
        }
        return "";
    }
};

/** A connected socket with buffered reading of HTTP messages. */
class Connection {
public:
    explicit Connection(int socket)
        : socket(socket)
    {
        const int on = 1;
        setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    }

    ~Connection() { this->close(); }
    Connection(const Connection&) = delete;

    auto close() -> void
    {
        if (this->socket >= 0)
            ::close(std::exchange(this->socket, -1));
    }

    /** Closes with a reset. */
    auto reset() -> void
    {
        if (this->socket < 0)
            return;
        const linger hard { 1, 0 };
        setsockopt(this->socket, SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
        this->close();
    }

    auto send(const std::string& bytes) -> bool
    {
        std::size_t sent = 0;
        while (sent < bytes.size()) {
            const auto count = ::send(this->socket, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
            if (count <= 0)
                return false;
            sent += static_cast<std::size_t>(count);
        }
        return true;
    }

    /** Reads more bytes until \a deadline; returns false at the end of the connection, an error or the deadline. */
    auto fill(Clock::time_point deadline) -> bool
    {
        const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(deadline - Clock::now()).count();
        pollfd entry { this->socket, POLLIN, 0 };
        if (this->socket < 0 || left < 0 || poll(&entry, 1, static_cast<int>(left) + 1) <= 0) {
            this->hasTimedOut = true;
            return false;
        }
        char bytes[65536];
        const auto count = recv(this->socket, bytes, sizeof bytes, 0);
        if (count <= 0) {
            this->isEnded = true;
            return false;
        }
        this->input.append(bytes, static_cast<std::size_t>(count));
        return true;
    }

    /** Returns whether the other side has closed the connection, without reading. */
    auto isClosedByOther() const -> bool
    {
        char byte = 0;
        const auto count = recv(this->socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
    }

    /** Reads a head; the body is left in the input. */
    auto readHead(Clock::time_point deadline) -> std::optional<Message>
    {
        std::size_t end = 0;
        while ((end = this->input.find("\r\n\r\n")) == std::string::npos) {
            if (!this->fill(deadline))
                return std::nullopt;
        }
        Message message;
        std::istringstream lines(this->input.substr(0, end + 2));
        this->input.erase(0, end + 4);
        std::string line;
        std::getline(lines, line);
        std::istringstream first(line);
        std::string version;
        if (line.rfind("HTTP/", 0) == 0)
            first >> version >> message.status;
        else
            first >> message.method >> message.target;
        while (std::getline(lines, line) && line.size() > 1) {
            const auto colon = line.find(':');
            if (colon == std::string::npos)
                continue;
            auto value = line.substr(colon + 1);
            value.erase(0, value.find_first_not_of(' '));
            while (!value.empty() && (value.back() == '\r' || value.back() == ' '))
                value.pop_back();
            message.headers.emplace_back(line.substr(0, colon), value);
        }
        return message;
    }

    /** Reads the body that belongs to \a message; \a onPiece gets the bytes as they arrive. */
    auto readBody(Message& message, Clock::time_point deadline, const std::function<void()>& onPiece = {}) -> bool
    {
        const auto take = [this, deadline, &message, &onPiece](std::size_t size) {
            while (size > 0) {
                if (this->input.empty() && !this->fill(deadline))
                    return false;
                const auto part = std::min(size, this->input.size());
                message.body.append(this->input, 0, part);
                this->input.erase(0, part);
                size -= part;
                if (onPiece)
                    onPiece();
            }
            return true;
        };
        if (strcasecmp(message.header("Transfer-Encoding").c_str(), "chunked") == 0) {
            while (true) {
                std::size_t end = 0;
                while ((end = this->input.find("\r\n")) == std::string::npos) {
                    if (!this->fill(deadline))
                        return false;
                }
                const auto size = std::strtoul(this->input.c_str(), nullptr, 16);
                this->input.erase(0, end + 2);
                if (size > 0 && !take(size))
                    return false;
                while (this->input.size() < 2) {
                    if (!this->fill(deadline))
                        return false;
                }
                this->input.erase(0, 2);
                if (size == 0)
                    return true;
            }
        }
        const auto length = message.header("Content-Length");
        return length.empty() || take(std::strtoul(length.c_str(), nullptr, 10));
    }

    auto readMessage(Clock::time_point deadline) -> std::optional<Message>
    {
        auto message = this->readHead(deadline);
        if (message && !this->readBody(*message, deadline))
            return std::nullopt;
        return message;
    }

    int socket;
    std::string input;
    bool hasTimedOut = false;
    bool isEnded = false;
};

inline auto addressOf(const std::string& ip, int port) -> sockaddr_in
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return address;
}

/** Returns a port of \a ip that is free for TCP and UDP. */
inline auto freePort(const std::string& ip) -> int
{
    for (int tries = 0; tries < 50; ++tries) {
        const auto tcp = ::socket(AF_INET, SOCK_STREAM, 0);
        const auto udp = ::socket(AF_INET, SOCK_DGRAM, 0);
        auto address = addressOf(ip, 0);
        socklen_t size = sizeof address;
        auto isFree = bind(tcp, reinterpret_cast<sockaddr*>(&address), size) == 0 && getsockname(tcp, reinterpret_cast<sockaddr*>(&address), &size) == 0;
        isFree = isFree && bind(udp, reinterpret_cast<sockaddr*>(&address), size) == 0;
        ::close(tcp);
        ::close(udp);
        if (isFree)
            return ntohs(address.sin_port);
    }
    return 0;
}

inline auto connectTo(const std::string& ip, int port, std::chrono::milliseconds limit = 1s) -> int
{
    const auto socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    const auto address = addressOf(ip, port);
    if (connect(socket, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
        pollfd entry { socket, POLLOUT, 0 };
        int error = 0;
        socklen_t size = sizeof error;
        if (errno != EINPROGRESS || poll(&entry, 1, static_cast<int>(limit.count())) <= 0 || getsockopt(socket, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0) {
            ::close(socket);
            return -1;
        }
    }
    fcntl(socket, F_SETFL, fcntl(socket, F_GETFL) & ~O_NONBLOCK);
    return socket;
}

/** Listens on a free port and calls a handler with each connection, on a thread of its own. */
class Listener {
public:
    using Handler = std::function<void(Connection&)>;

    Listener(std::string ip, Handler handler)
        : ip(std::move(ip))
        , handler(std::move(handler))
        , socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        const int on = 1;
        setsockopt(this->socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        auto address = addressOf(this->ip, 0);
        socklen_t size = sizeof address;
        if (bind(this->socket, reinterpret_cast<sockaddr*>(&address), size) != 0 || listen(this->socket, 1024) != 0 || getsockname(this->socket, reinterpret_cast<sockaddr*>(&address), &size) != 0) {
            std::cerr << "cannot listen on " << this->ip << "\n";
            std::_Exit(exitNotRun);
        }
        this->port = ntohs(address.sin_port);
        std::thread([this] { this->acceptAll(); }).detach();
    }

    auto address() const -> std::string { return this->ip + ":" + std::to_string(this->port); }

    std::string ip;
    int port = 0;

private:
    auto acceptAll() -> void
    {
        while (true) {
            const auto accepted = accept4(this->socket, nullptr, nullptr, SOCK_CLOEXEC);
            if (accepted < 0)
                continue;
            std::thread([this, accepted] {
                Connection connection(accepted);
                this->handler(connection);
            }).detach();
        }
    }

    Handler handler;
    int socket;
};

inline auto encodeBase64(const std::string& bytes) -> std::string
{
    constexpr auto letters = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        std::uint32_t group = 0;
        for (std::size_t j = 0; j < 3; ++j)
            group = group << 8U | (i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j]) : 0U);
        for (std::size_t j = 0; j < 4; ++j)
            text += i + j > bytes.size() ? '=' : letters[group >> (18 - 6 * j) & 63U];
    }
    return text;
}

inline auto decodeBase64(const std::string& text) -> std::string
{
    static const std::string letters = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string bytes;
    std::uint32_t group = 0;
    int bits = 0;
    for (const auto letter : text) {
        const auto place = letters.find(letter);
        if (place == std::string::npos)
            break;
        group = group << 6U | static_cast<std::uint32_t>(place);
        bits += 6;
        if (bits >= 8) {
            bits -= 8;
            bytes += static_cast<char>(group >> static_cast<unsigned>(bits) & 255U);
        }
    }
    return bytes;
}

inline auto jsonAnswer(int status, const Json& body, const std::string& more = "") -> std::string
{
    const auto text = body.dump();
    return "HTTP/1.1 " + std::to_string(status) + " X\r\nContent-Type: application/json\r\n" + more + "Content-Length: " + std::to_string(text.size()) + "\r\n\r\n" + text;
}

/** The platform's store. */
class Store {
public:
    struct Item {
        std::string value;
        std::int64_t revision = 0;
        std::int64_t created = 0;
        std::int64_t lease = 0;
    };

    struct Lease {
        Clock::time_point end;
        std::chrono::milliseconds time;
    };

    explicit Store(const std::string& ip)
        : listener(ip, [this](Connection& connection) { this->serve(connection); })
    {
        std::thread([this] { this->expireLeases(); }).detach();
    }

    auto put(const std::string& key, const std::string& value) -> std::int64_t
    {
        const std::lock_guard lock(this->mutex);
        this->write(key, value, 0);
        this->changed.notify_all();
        return this->revision;
    }

    auto remove(const std::string& key) -> void
    {
        const std::lock_guard lock(this->mutex);
        this->erase(key);
        this->changed.notify_all();
    }

    auto get(const std::string& key) -> std::optional<std::string>
    {
        const std::lock_guard lock(this->mutex);
        const auto found = this->items.find(key);
        return found == this->items.end() ? std::nullopt : std::optional(found->second.value);
    }

    /** Keeps a copy of what the store has now. */
    auto takeCopy() -> void
    {
        const std::lock_guard lock(this->mutex);
        this->copy = this->items;
        this->copyRevision = this->revision;
    }

    /** Goes away: calls get 503 and waiting watches are cut. */
    auto goAway() -> void
    {
        const std::lock_guard lock(this->mutex);
        this->isAway = true;
        this->changed.notify_all();
    }

    /** Comes back, without what was written since the copy; leases are gone, and the keys under them with their lease. */
    auto restoreCopy() -> void
    {
        const std::lock_guard lock(this->mutex);
        this->items = this->copy;
        this->revision = this->copyRevision;
        this->leases.clear();
        std::erase_if(this->history, [this](const auto& event) { return event.first > this->revision; });
        this->historyStart = this->revision;
        this->history.clear();
        ++this->era;
        this->isAway = false;
        this->changed.notify_all();
    }

    std::function<bool(const Message&)> isRefused; ///< Asked for each call; a call for which it returns true gets 503.

    Listener listener;

private:
    auto write(const std::string& key, const std::string& value, std::int64_t lease) -> void
    {
        auto& item = this->items[key];
        item.value = value;
        item.revision = ++this->revision;
        item.created = item.created == 0 ? this->revision : item.created;
        item.lease = lease;
        this->history.emplace_back(this->revision, this->toJson(key, item));
    }

    auto erase(const std::string& key) -> void
    {
        if (this->items.erase(key) == 0)
            return;
        ++this->revision;
        this->history.emplace_back(this->revision, Json { { "key", key }, { "revision", this->revision }, { "tombstone", true } });
    }

    auto toJson(const std::string& key, const Item& item) const -> Json
    {
        return { { "key", key }, { "value", encodeBase64(item.value) }, { "revision", item.revision }, { "created-rev", item.created }, { "lease", item.lease } };
    }

    auto expireLeases() -> void
    {
        while (true) {
            sleepFor(0.02);
            const std::lock_guard lock(this->mutex);
            std::vector<std::int64_t> ended;
            for (const auto& [id, lease] : this->leases) {
                if (lease.end <= Clock::now() && !this->isAway)
                    ended.push_back(id);
            }
            for (const auto id : ended)
                this->endLease(id);
            if (!ended.empty())
                this->changed.notify_all();
        }
    }

    auto endLease(std::int64_t id) -> void
    {
        this->leases.erase(id);
        std::vector<std::string> keys;
        for (const auto& [key, item] : this->items) {
            if (item.lease == id)
                keys.push_back(key);
        }
        for (const auto& key : keys)
            this->erase(key);
    }

    auto serve(Connection& connection) -> void
    {
        while (auto request = connection.readMessage(Clock::now() + 1h)) {
            const auto answer = this->answerTo(*request, connection);
            if (answer.empty() || !connection.send(answer))
                return;
        }
    }

    auto answer(int status, const Json& body) const -> std::string { return jsonAnswer(status, body, this->era > 0 ? "Store-Era: " + std::to_string(this->era) + "\r\n" : ""); }

    auto answerTo(const Message& request, Connection& connection) -> std::string
    {
        if (this->isRefused && this->isRefused(request))
            return "HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n";
        sleepFor(0.004);
        std::unique_lock lock(this->mutex);
        if (this->isAway)
            return "HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n";
        const auto path = request.path();
        if (path == "/kv-key")
            return this->answerKey(request);
        if (path == "/kv-range")
            return this->answerRange(request);
        if (path == "/kv-watch")
            return this->answerWatch(request, connection, lock);
        if (path == "/kv-txn")
            return this->answerTransaction(Json::parse(request.body));
        if (path == "/kv-lease") {
            const auto time = std::max<std::int64_t>(1000, Json::parse(request.body)["ttl-ms"].get<std::int64_t>());
            const auto id = ++this->nextLease;
            this->leases[id] = { Clock::now() + std::chrono::milliseconds(time), std::chrono::milliseconds(time) };
            return this->answer(200, { { "lease", id }, { "ttl-ms", time } });
        }
        if (path.rfind("/kv-keep/", 0) == 0) {
            const auto found = this->leases.find(std::atoll(path.c_str() + 9));
            if (found == this->leases.end())
                return this->answer(404, Json::object());
            found->second.end = Clock::now() + found->second.time;
            return this->answer(200, { { "ttl-ms", found->second.time.count() } });
        }
        if (path.rfind("/kv-lease-end/", 0) == 0) {
            this->endLease(std::atoll(path.c_str() + 14));
            this->changed.notify_all();
            return this->answer(200, Json::object());
        }
        return this->answer(404, Json::object());
    }

    auto answerKey(const Message& request) -> std::string
    {
        const auto key = request.query("key");
        const auto found = this->items.find(key);
        if (found == this->items.end())
            return this->answer(404, { { "current-rev", this->revision } });
        auto json = this->toJson(key, found->second);
        json["current-rev"] = this->revision;
        return this->answer(200, json);
    }

    auto answerRange(const Message& request) -> std::string
    {
        const auto prefix = request.query("prefix");
        const auto after = request.query("after");
        auto list = Json::array();
        for (const auto& [key, item] : this->items) {
            if (key.rfind(prefix, 0) == 0 && key > after)
                list.push_back(this->toJson(key, item));
        }
        return this->answer(200, { { "items", list }, { "more-pages", false }, { "current-rev", this->revision } });
    }

    auto answerWatch(const Message& request, Connection& connection, std::unique_lock<std::mutex>& lock) -> std::string
    {
        const auto prefix = request.query("prefix");
        const auto after = std::atoll(request.query("after").c_str());
        const auto end = Clock::now() + std::chrono::milliseconds(std::atoll(request.query("wait-ms").c_str()));
        const auto startEra = this->era;
        while (true) {
            if (this->isAway || this->era != startEra)
                return "";
            if (after < this->historyStart || after > this->revision)
                return this->answer(410, Json::object());
            auto events = Json::array();
            for (const auto& [number, event] : this->history) {
                if (number > after && event["key"].get<std::string>().rfind(prefix, 0) == 0)
                    events.push_back(event);
            }
            if (!events.empty() || Clock::now() >= end)
                return this->answer(200, { { "events", events }, { "current-rev", this->revision } });
            this->changed.wait_until(lock, std::min(end, Clock::now() + 200ms));
            if (connection.isClosedByOther())
                return "";
        }
    }

    auto answerTransaction(const Json& body) -> std::string
    {
        auto isMet = true;
        auto current = Json::array();
        for (const auto& row : body["expect-rev"]) {
            const auto key = row["key"].get<std::string>();
            const auto found = this->items.find(key);
            const auto present = found == this->items.end() ? 0 : found->second.revision;
            isMet = isMet && present == row["revision"].get<std::int64_t>();
            current.push_back(found == this->items.end() ? Json { { "key", key }, { "revision", 0 } } : this->toJson(key, found->second));
        }
        if (!isMet)
            return this->answer(412, { { "items", current }, { "current-rev", this->revision } });
        for (const auto& put : body["puts"]) {
            const auto lease = put.value("lease", std::int64_t { 0 });
            if (lease != 0 && !this->leases.contains(lease))
                return this->answer(404, Json::object());
        }
        for (const auto& put : body["puts"])
            this->write(put["key"].get<std::string>(), decodeBase64(put["value"].get<std::string>()), put.value("lease", std::int64_t { 0 }));
        for (const auto& key : body.value("remove", Json::array()))
            this->erase(key.get<std::string>());
        this->changed.notify_all();
        return this->answer(200, { { "revision", this->revision } });
    }

    std::mutex mutex;
    std::condition_variable changed;
    std::map<std::string, Item> items;
    std::map<std::string, Item> copy;
    std::map<std::int64_t, Lease> leases;
    std::vector<std::pair<std::int64_t, Json>> history;
    std::int64_t historyStart = 0;
    std::int64_t revision = 100;
    std::int64_t copyRevision = 100;
    std::int64_t nextLease = 500;
    int era = 0;
    bool isAway = false;
};

/** The platform's API for usage reports and orders of engines, with the check of the fencing token. */
class CloudApi {
public:
    explicit CloudApi(const std::string& ip, Record& record)
        : record(record)
        , listener(ip, [this](Connection& connection) { this->serve(connection); })
    {
    }

    std::function<bool()> dropsAnswer; ///< Asked after a call was carried out; the answer is dropped when it returns true.

    /** Returns the windows for which two reports with different counts were accepted. */
    auto doubleReports() -> std::vector<std::int64_t>
    {
        const std::lock_guard lock(this->mutex);
        return this->doubles;
    }

private:
    auto serve(Connection& connection) -> void
    {
        while (auto request = connection.readMessage(Clock::now() + 1h)) {
            const auto status = this->take(*request);
            if (this->dropsAnswer && this->dropsAnswer())
                return connection.reset();
            if (!connection.send(jsonAnswer(status, Json::object())))
                return;
        }
    }

    auto take(const Message& request) -> int
    {
        const std::lock_guard lock(this->mutex);
        const auto body = Json::parse(request.body);
        const auto fence = std::strtoull(request.header("X-Fence-Token").c_str(), nullptr, 10);
        const auto subject = request.target == "/usage" ? std::string("usage") : body.value("backend", "") + "/" + body.value("zone", "");
        auto& highest = this->fences[subject];
        const auto isStale = fence < highest;
        this->record.write("cloud " + request.target + " holder=" + request.header("X-Duty-Holder") + " fence=" + request.header("X-Fence-Token") + " " + request.body + (isStale ? " -> 409" : " -> 200"));
        if (isStale)
            return 409;
        highest = fence;
        if (request.target == "/usage") {
            const auto window = body["window-id"].get<std::int64_t>();
            const auto [found, isNew] = this->reports.emplace(window, body["counts"]);
            if (!isNew && found->second != body["counts"])
                this->doubles.push_back(window);
        }
        return 200;
    }

    Record& record;
    std::mutex mutex;
    std::map<std::string, std::uint64_t> fences;
    std::map<std::int64_t, Json> reports;
    std::vector<std::int64_t> doubles;

public:
    Listener listener;
};

/** The settings of one node, as platform/settings.json gives them for the smaller deployments. */
struct NodePlace {
    std::string id;
    std::string ip;
    std::string zone = "a";
    int callers = 0;
    int readiness = 0;
    int peers = 0;
    int operators = 0;
};

/** A node of the project as a process of its own, started with the command of the deploy file. */
class Node {
public:
    Node(std::string program, std::string folder, NodePlace place, std::string store, std::string cloud)
        : place(std::move(place))
        , program(std::move(program))
        , folder(std::move(folder))
        , store(std::move(store))
        , cloud(std::move(cloud))
    {
        const auto& ip = this->place.ip;
        this->place.callers = freePort(ip);
        this->place.readiness = freePort(ip);
        this->place.peers = freePort(ip);
        this->place.operators = freePort(ip);
    }

    ~Node() { this->kill(SIGKILL); }
    Node(const Node&) = delete;

    auto start() -> void
    {
        const auto at = [this](int port) { return this->place.ip + ":" + std::to_string(port); };
        const Json settings { { "interface", "gateway" },
            { "node", { { "id", this->place.id }, { "zone", this->place.zone }, { "region", "r" }, { "processor_share", 0.25 }, { "memory", "260MiB" } } },
            { "listen", { { "callers", at(this->place.callers) }, { "readiness", at(this->place.readiness) }, { "peers", at(this->place.peers) }, { "operators", at(this->place.operators) } } },
            { "systems", { { "fleet_api", this->cloud }, { "key_value_service", this->store } } },
            { "bounds", { { "drain", "2000ms" }, { "stop_grace", "8s" }, { "configuration", "2000ms" }, { "revocation", "5000ms" }, { "leadership", "3000ms" }, { "usage_window", "5s" }, { "usage_due", "10s" }, { "attempt_window", "10s" }, { "attempt_ratio", 0.2 }, { "quota_window", "8s" }, { "quota_excess", 0.1 }, { "quota_slack", 110000 }, { "heartbeat", "1200ms" }, { "attempt_slack", 56 } } },
            { "load", { { "shared", true } } }, { "admission", { { "enabled", true } } }, { "zones", { { "transfer_cost", 0 } } }, { "log_level", "info" } };
        const auto path = this->folder + "/" + this->place.id + ".json";
        std::ofstream(path) << settings.dump(2);
        const auto logPath = this->folder + "/" + this->place.id + ".log";
        this->pid = fork();
        if (this->pid != 0)
            return;
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        const auto log = open(logPath.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        dup2(log, STDOUT_FILENO);
        dup2(log, STDERR_FILENO);
        setenv("PRIMROSEFORK_SETTINGS", path.c_str(), 1);
        execl(this->program.c_str(), this->program.c_str(), "--settings", path.c_str(), nullptr);
        std::_Exit(127);
    }

    auto signal(int number) const -> void
    {
        if (this->pid > 0)
            ::kill(this->pid, number);
    }

    /** Sends a signal and waits for the end of the process. */
    auto kill(int number) -> void
    {
        if (this->pid <= 0)
            return;
        ::kill(this->pid, number);
        waitpid(this->pid, nullptr, 0);
        this->pid = 0;
    }

    /** Returns whether the process has ended by itself. */
    auto hasEnded() -> bool
    {
        int status = 0;
        if (this->pid <= 0 || waitpid(this->pid, &status, WNOHANG) != this->pid)
            return false;
        this->endStatus = status;
        this->pid = 0;
        return true;
    }

    auto isReady() const -> bool
    {
        const auto socket = connectTo(this->place.ip, this->place.readiness);
        if (socket < 0)
            return false;
        Connection connection(socket);
        connection.send("GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n");
        const auto answer = connection.readMessage(Clock::now() + 1s);
        return answer && answer->status == 200;
    }

    auto waitUntilReady(double seconds = 15) const -> bool
    {
        const auto end = Clock::now() + std::chrono::duration<double>(seconds);
        while (Clock::now() < end) {
            if (this->isReady())
                return true;
            sleepFor(0.1);
        }
        return false;
    }

    /** Returns the resident memory in MiB. */
    auto memory() const -> double
    {
        std::ifstream file("/proc/" + std::to_string(this->pid) + "/status");
        std::string line;
        while (std::getline(file, line)) {
            if (line.rfind("VmRSS:", 0) == 0)
                return std::atof(line.c_str() + 6) / 1024;
        }
        return 0;
    }

    NodePlace place;
    pid_t pid = 0;
    int endStatus = 0;

private:
    std::string program;
    std::string folder;
    std::string store;
    std::string cloud;
};

/** What a caller got for one request. */
struct Answer {
    int status = 0; ///< 0 when the connection ended, or the deadline passed, without a head.
    bool isWhole = false;
    Message message;
};

/** Sends \a request on a new connection to \a place and reads the answer. */
inline auto ask(const NodePlace& place, const std::string& request, std::chrono::milliseconds limit) -> Answer
{
    Answer answer;
    const auto deadline = Clock::now() + limit;
    const auto socket = connectTo(place.ip, place.callers);
    if (socket < 0)
        return answer;
    Connection connection(socket);
    if (!connection.send(request))
        return answer;
    auto head = connection.readHead(deadline);
    if (!head)
        return answer;
    answer.status = head->status;
    answer.isWhole = connection.readBody(*head, deadline);
    answer.message = std::move(*head);
    return answer;
}

inline auto troubleIsOn() -> bool
{
    const auto* text = std::getenv("TROUBLE");
    return !text || std::string(text) != "0";
}

inline auto randomHex(std::mt19937_64& random) -> std::string
{
    char text[24];
    std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(random()));
    return text;
}

} // namespace Review
