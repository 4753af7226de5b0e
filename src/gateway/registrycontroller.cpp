#include "registrycontroller.h"

#include "eventlog.h"

#include <nlohmann/json.hpp>
#include <set>
#include <utility>

using namespace std::chrono_literals;

namespace Primrosefork {

namespace {

constexpr double lapsePart = 0.85; ///< Of the time after which a server that left must get nothing more.
constexpr auto returnTime = 4s; ///< After the store came back, in which registrations may still lapse and be renewed.
constexpr int pauseDivisor = 8; ///< Part of the time after which a server that left must get nothing more, for which changes are gathered.
constexpr int proofDivisor = 2; ///< Part of the same time in which it is to be shown that no change was missed.
constexpr auto lapseCheck = 100ms;

} // namespace

RegistryController::RegistryController(
    EventLoop& loop, KeyValueStore& store, const TrafficDocuments& documents, const GatewayBounds& bounds, GatewayBoard& board, const EventLog& log)
    : documents(documents)
    , log(log)
    , servers(board.backendServers.acquireWriter("RegistryController"))
    , revision(board.registryRevision.acquireWriter("RegistryController"))
    , lapseTime(std::chrono::duration_cast<std::chrono::milliseconds>(lapsePart * bounds.drain))
    , lapseTimer(loop, [this] { this->endLapses(); })
    , watcher(loop, store, log, documents.backendPrefix(),
          { [this](const StoreListing& listing) { this->listed(listing); }, [this](const StoreListing& listing) { this->changed(listing); } },
          { bounds.drain / pauseDivisor, bounds.drain / proofDivisor })
{
}

auto RegistryController::idOf(const std::string& key) const -> std::string
{
    return key.substr(std::min(key.size(), this->documents.backendPrefix().size()));
}

auto RegistryController::wasStoreAway() const -> bool
{
    return this->watcher.isFailing() || BootClock::now() - this->watcher.recovered() < returnTime;
}

auto RegistryController::listed(const StoreListing& listing) -> void
{
    auto current = this->servers.value();
    std::set<std::string> seen;
    for (const auto& entry : listing.entries) {
        seen.insert(this->idOf(entry.key));
        this->take(current, entry);
    }
    for (const auto& [id, server] : this->servers.value()) {
        if (!seen.contains(id))
            this->removed(current, id);
    }
    this->publish(std::move(current));
}

auto RegistryController::changed(const StoreListing& listing) -> void
{
    auto current = this->servers.value();
    for (const auto& entry : listing.entries) {
        if (entry.isDeleted)
            this->removed(current, this->idOf(entry.key));
        else
            this->take(current, entry);
    }
    this->publish(std::move(current));
}

auto RegistryController::take(BackendServers& current, const StoreEntry& entry) -> void
{
    Findings findings;
    const auto id = this->idOf(entry.key);
    auto server = this->documents.decodeBackend(entry.key, entry.value, findings);
    if (!server) {
        // Whatever wrote this, it names no server that can be used.
        this->log.write(Event::RegistrationUnreadable, { { "backend", id }, { "findings", formatFindings(findings) } });
        current.erase(id);
        return;
    }
    this->lapsed.erase(id);
    current[id] = std::move(*server);
}

auto RegistryController::removed(BackendServers& current, const std::string& id) -> void
{
    const auto found = current.find(id);
    if (found == current.end())
        return;
    const auto mayReturn = this->wasStoreAway() && found->second.state == InstanceState::Live;
    if (!mayReturn) {
        current.erase(found);
        return;
    }
    if (this->lapsed.emplace(id, BootClock::now() + this->lapseTime).second)
        this->log.write(Event::RegistrationLapsed, { { "backend", id } });
    this->lapseTimer.start(lapseCheck);
}

auto RegistryController::endLapses() -> void
{
    const auto now = BootClock::now();
    auto current = this->servers.value();
    std::erase_if(this->lapsed, [&current, now](const auto& entry) {
        if (entry.second > now)
            return false;
        current.erase(entry.first);
        return true;
    });
    if (!this->lapsed.empty())
        this->lapseTimer.start(lapseCheck);
    this->publish(std::move(current));
}

auto RegistryController::publish(BackendServers next) -> void
{
    this->revision.write(this->watcher.newest());
    const auto& before = this->servers.value();
    if (next == before)
        return;
    for (const auto& [id, server] : next) {
        const auto old = before.find(id);
        if (old == before.end())
            this->log.write(Event::BackendAdded, { { "backend", id }, { "service", server.pool }, { "address", server.address.toString() }, { "zone", server.zone } });
        else if (old->second.state == InstanceState::Live && server.state == InstanceState::Leaving)
            this->log.write(Event::BackendLeaving, { { "backend", id } });
    }
    for (const auto& [id, server] : before) {
        if (!next.contains(id))
            this->log.write(Event::BackendRemoved, { { "backend", id } });
    }
    this->servers.write(std::move(next));
}

auto RegistryController::dumpState() const -> nlohmann::json
{
    auto list = nlohmann::json::array();
    for (const auto& [id, server] : this->servers.value())
        list.push_back({ { "id", id }, { "service", server.pool }, { "zone", server.zone }, { "address", server.address.toString() },
            { "state", server.state == InstanceState::Live ? "live" : "leaving" }, { "reclaimable", server.isReclaimable } });
    return { { "servers", list }, { "lapsed", this->lapsed.size() } };
}

} // namespace Primrosefork
