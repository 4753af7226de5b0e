#include "messages.h"

#include "scriptedserver.h"

#include <cstdlib>
#include <sstream>

namespace Primrosefork::Testkit {

namespace {

constexpr auto headEnd = "\r\n\r\n";
constexpr auto lastChunk = "0\r\n\r\n";

auto answerHead(const std::string& request, int status) -> std::string
{
    return "HTTP/1.1 " + std::to_string(status) + " X\r\nX-Attempt-Id: " + requestIdOf(request) + "\r\nX-Response-Seal: s\r\n";
}

auto route(const std::string& name, const std::string& type, const std::string& service, const std::string& more) -> std::string
{
    return R"({"name":")" + name + R"(","host":"a.example","prefix":"/)" + name + R"(/","route-type":")" + type + R"(","timeout-ms":3000,"slo-ms":500,"backend":")" + service + "\"" + more + "}";
}

auto joinChunks(const std::string& text) -> std::string
{
    constexpr int hexadecimal = 16;
    std::string body;
    std::size_t place = 0;
    while (place < text.size()) {
        const auto lineEnd = text.find("\r\n", place);
        const auto size = std::strtoul(text.c_str() + place, nullptr, hexadecimal);
        if (lineEnd == std::string::npos || size == 0)
            break;
        body += text.substr(lineEnd + 2, size);
        place = lineEnd + 2 + size + 2;
    }
    return body;
}

} // namespace

auto makeRequest(const std::string& prefix, const std::string& id, const std::string& more, const std::string& credential) -> std::string
{
    return "POST " + prefix + "x HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: " + id + "\r\nAuthorization: Token " + credential + "\r\nX-Deadline-Ms: 3000\r\n" + more
        + "Content-Length: 4\r\n\r\nbody";
}

auto promptParts(const std::string& part) -> std::string
{
    return "X-Prompt-Prefix: a1:800," + part + ":410,e4:250\r\n";
}

auto requestIdOf(const std::string& request) -> std::string
{
    return headerOf(request, "X-Attempt-Id");
}

auto resumePointOf(const std::string& request) -> int
{
    return std::atoi(headerOf(request, "Last-Event-Id").c_str());
}

auto statusOf(const std::string& answer) -> int
{
    constexpr std::size_t statusPosition = 9;
    return answer.size() > statusPosition ? std::atoi(answer.c_str() + statusPosition) : 0;
}

auto bodyOf(const std::string& answer) -> std::string
{
    const auto end = answer.find(headEnd);
    if (end == std::string::npos)
        return "";
    const auto body = answer.substr(end + 4);
    return headerOf(answer.substr(0, end + 2), "Transfer-Encoding") == "chunked" ? joinChunks(body) : body;
}

auto isCompleteAnswer(const std::string& answer) -> bool
{
    const auto end = answer.find(headEnd);
    if (end == std::string::npos)
        return false;
    const auto length = headerOf(answer.substr(0, end + 2), "Content-Length");
    if (!length.empty())
        return answer.size() >= end + 4 + std::stoul(length);
    return answer.ends_with(lastChunk);
}

auto answerTo(const std::string& request, int status, const std::string& body, const std::string& more) -> std::string
{
    return answerHead(request, status) + more + "Content-Length: " + std::to_string(body.size()) + headEnd + body;
}

auto refusalAnswer(const std::string& request) -> std::string
{
    return answerTo(request, 503, "", "X-Not-Executed: 1\r\n");
}

auto pauseAnswer(const std::string& request, double seconds) -> std::string
{
    return answerTo(request, 503, "", "X-Not-Executed: 1\r\nRetry-After: " + std::to_string(seconds) + "\r\n");
}

auto leavingLine() -> std::string
{
    return "Server-Leaving: 1\r\n";
}

auto streamHead(const std::string& request, const std::string& more) -> std::string
{
    return answerHead(request, 200) + more + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
}

auto chunk(const std::string& text) -> std::string
{
    if (text.empty())
        return lastChunk;
    std::ostringstream result;
    result << std::hex << text.size() << "\r\n"
           << text << "\r\n";
    return result.str();
}

auto configurationKey() -> std::string
{
    return "op/config";
}

auto registrationKey(const std::string& server) -> std::string
{
    return "servers/" + server;
}

auto configurationDocument(int version, const std::string& keys, std::size_t moreWorkspaces) -> std::string
{
    std::string workspaces = R"({"name":"salon","api-keys":)" + keys + "}";
    for (std::size_t index = 0; index < moreWorkspaces; ++index)
        workspaces += R"(,{"name":"quiet-)" + std::to_string(index) + R"(","api-keys":["quiet-)" + std::to_string(index) + "\"]}";
    return R"({"version":)" + std::to_string(version) + R"(,"routes":[)" + route("once", "non_idempotent", "app", R"(,"max-attempts":1)") + ","
        + route("read", "idempotent", "app", R"(,"max-attempts":2)") + "," + route("stream", "streaming", "llm", R"(,"max-attempts":1)") + ","
        + route("chat", "streaming", "llm", R"(,"max-attempts":2,"can-resume":true)")
        + R"(],"services":[{"name":"app","max-conns":110},{"name":"llm","max-conns":370,"engine":{"capacity":64,"kv-tokens":300000,"moves":true}}],"tenants":[)" + workspaces + "]}";
}

auto registrationDocument(const std::string& service, const std::string& address, const std::string& state, const std::string& more) -> std::string
{
    const auto engine = service == "llm" ? R"(,"stage":"both")" : "";
    return R"({"backend":")" + service + R"(","address":")" + address + R"(","zone":"a","capacity":6,"state":")" + state + "\"" + engine + more + "}";
}

} // namespace Primrosefork::Testkit
