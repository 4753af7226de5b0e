// A model engine that streams short answers.
#pragma once

#include "kit.h"

namespace Review {

class StreamServer {
public:
    StreamServer(std::string id, const std::string& ip)
        : id(std::move(id))
        , listener(ip, [this](Connection& connection) { this->serve(connection); })
    {
    }

    auto registration(const std::string& service) -> std::string
    {
        return Json { { "backend", service }, { "address", this->listener.address() }, { "zone", "a" }, { "version", "v1" }, { "capacity", 64 }, { "state", "ready" }, { "cold-left-ms", 0 }, { "stage", "both" }, { "models", Json::array() }, { "born", this->born }, { "seq", 1 } }.dump();
    }

    std::string id;

private:
    auto serve(Connection& connection) -> void
    {
        while (auto request = connection.readMessage(Clock::now() + 10s)) {
            if (!this->answer(connection, *request))
                return;
        }
    }

    auto answer(Connection& connection, const Message& request) -> bool
    {
        const auto requestId = request.header("X-Attempt-Id");
        const auto expected = request.header("X-Expect-Instance");
        if (!expected.empty() && expected != this->id)
            return connection.send("HTTP/1.1 421 X\r\nX-Attempt-Id: " + requestId + "\r\nX-Not-Executed: 1\r\nX-Instance-Id: " + this->id + "\r\nContent-Length: 0\r\n\r\n");
        sleepFor(0.03);
        if (!connection.send("HTTP/1.1 200 OK\r\nX-Attempt-Id: " + requestId + "\r\nX-Response-Seal: s." + requestId + "\r\nContent-Type: text/event-stream\r\nKeep-Alive: timeout=10\r\nTransfer-Encoding: chunked\r\n\r\n"))
            return false;
        const auto chunk = [](const std::string& text) {
            char size[16];
            std::snprintf(size, sizeof size, "%zx\r\n", text.size());
            return size + text + "\r\n";
        };
        for (auto event = std::atoi(request.header("Last-Event-Id").c_str()) + 1; event <= 8; ++event) {
            if (connection.isClosedByOther() || !connection.send(chunk("id: " + std::to_string(event) + "\ndata: " + requestId + "\n\n")))
                return false;
            sleepFor(0.015);
        }
        return connection.send("0\r\n\r\n");
    }

    std::int64_t born = unixMs();

public:
    Listener listener;
};

} // namespace Review
