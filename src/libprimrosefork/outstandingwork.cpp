#include "outstandingwork.h"

#include <algorithm>

using namespace std::chrono_literals;

namespace Primrosefork {

namespace {

constexpr auto reportLag = 1000ms; ///< Age of the figures in a report when it is received.
constexpr std::size_t maxSamples = 8;

} // namespace

auto OutstandingWork::sent(const RoutingRequest& request, const BackendServer& server, TimePoint now) -> void
{
    const auto isLong = request.workClass == WorkClass::Long;
    this->openRequests[request.id] = { server.id, isLong, request.promptTokens, request.expectedTokens, now, now };
    auto& state = this->servers[server.id];
    ++state.requests;
    state.longRequests += isLong ? 1 : 0;
    this->longRequests += isLong ? 1 : 0;
    state.prefillTokens += request.promptTokens;
    state.decodeTokens += request.expectedTokens;
}

auto OutstandingWork::firstPieceReceived(std::uint64_t requestId, TimePoint now) -> void
{
    const auto found = this->openRequests.find(requestId);
    if (found == this->openRequests.end())
        return;
    auto& request = found->second;
    this->servers[request.serverId].prefillTokens -= request.prefillTokens;
    request.prefillTokens = 0;
    request.lastPiece = now;
}

auto OutstandingWork::pieceReceived(std::uint64_t requestId, std::int64_t tokens, TimePoint now) -> std::chrono::microseconds
{
    const auto found = this->openRequests.find(requestId);
    if (found == this->openRequests.end())
        return 0us;
    auto& request = found->second;
    const auto generated = std::min(tokens, request.decodeTokens);
    request.decodeTokens -= generated;
    this->servers[request.serverId].decodeTokens -= generated;
    const auto gap = now - request.lastPiece;
    request.lastPiece = now;
    return std::chrono::duration_cast<std::chrono::microseconds>(gap);
}

auto OutstandingWork::ended(std::uint64_t requestId, TimePoint now) -> std::chrono::microseconds
{
    const auto found = this->openRequests.find(requestId);
    if (found == this->openRequests.end())
        return 0us;
    const auto request = found->second;
    this->openRequests.erase(found);
    auto& state = this->servers[request.serverId];
    --state.requests;
    state.longRequests -= request.isLong ? 1 : 0;
    this->longRequests -= request.isLong ? 1 : 0;
    state.prefillTokens -= request.prefillTokens;
    state.decodeTokens -= request.decodeTokens;
    return std::chrono::duration_cast<std::chrono::microseconds>(now - request.sent);
}

auto OutstandingWork::reported(const LoadReports& reports, TimePoint now) -> void
{
    for (auto& [id, state] : this->servers) {
        if (!reports.contains(id)) {
            state.otherRequests = 0;
            state.otherPrefillTokens = 0;
        }
    }
    for (const auto& [id, report] : reports)
        this->applyReport(this->servers[id], report, now);
    this->removeIdle(reports);
}

auto OutstandingWork::applyReport(ServerState& state, const LoadReport& report, TimePoint now) -> void
{
    const auto reportTime = report.received - reportLag;
    Sample ownAtReport;
    for (const auto& sample : state.samples) {
        if (sample.time <= reportTime)
            ownAtReport = sample;
    }
    state.otherRequests = std::max<std::int64_t>(0, report.running + report.waiting - ownAtReport.requests);
    state.otherPrefillTokens = std::max<std::int64_t>(0, report.waitingTokens - ownAtReport.prefillTokens);
    state.samples.push_back({ now, state.requests, state.prefillTokens });
    if (state.samples.size() > maxSamples)
        state.samples.pop_front();
}

auto OutstandingWork::removeIdle(const LoadReports& reports) -> void
{
    std::erase_if(this->servers, [&reports](const auto& entry) { return entry.second.requests == 0 && !reports.contains(entry.first); });
}

auto OutstandingWork::loadOf(const BackendServer& server) const -> ServerLoad
{
    const auto found = this->servers.find(server.id);
    if (found == this->servers.end())
        return {};
    const auto& state = found->second;
    return { state.requests, state.longRequests, state.otherRequests, state.prefillTokens, state.otherPrefillTokens, state.decodeTokens };
}

} // namespace Primrosefork
