#include "faultplan.h"

#include <algorithm>
#include <map>
#include <nlohmann/json.hpp>

using namespace std::chrono_literals;

namespace Primrosefork::Measure {

namespace {

using Milliseconds = std::chrono::milliseconds;

constexpr Milliseconds firstFault = 1s;
constexpr double meanGap = 900; ///< Milliseconds between the beginnings of two faults.
constexpr Milliseconds recoverySpace = 9s; ///< A target gets no other fault for so long after one that ends a process or a registration.
constexpr Milliseconds space = 500ms;

auto isLong(const std::string& kind) -> bool
{
    return kind == "stop" || kind == "kill" || kind == "leave" || kind == "say-leaving";
}

} // namespace

auto faultKinds() -> const std::vector<FaultKind>&
{
    static const std::vector<FaultKind> kinds {
        { "stop", FaultTarget::Node, 200ms, 1'000ms },
        { "kill", FaultTarget::Node, 200ms, 1'500ms },
        { "freeze", FaultTarget::Node, 200ms, 4'000ms },
        { "reload", FaultTarget::Node, 500ms, 1'500ms },
        { "turn-away", FaultTarget::Node, 500ms, 4'000ms },
        { "store-away", FaultTarget::Store, 300ms, 3'500ms },
        { "store-silent", FaultTarget::Store, 300ms, 2'500ms },
        { "store-slow", FaultTarget::Store, 500ms, 3'000ms },
        { "lost-writes", FaultTarget::Store, 300ms, 1'500ms },
        { "ended-watches", FaultTarget::Store, 100ms, 200ms },
        { "change", FaultTarget::Operator, 100ms, 200ms },
        { "large-change", FaultTarget::Operator, 100ms, 200ms },
        { "crash", FaultTarget::Server, 200ms, 2'000ms },
        { "leave", FaultTarget::Server, 2'500ms, 4'000ms },
        { "say-leaving", FaultTarget::Server, 2'500ms, 4'000ms },
        { "ask-pause", FaultTarget::Server, 300ms, 3'000ms },
        { "silent", FaultTarget::Server, 300ms, 2'000ms },
        { "repeat-answers", FaultTarget::Server, 500ms, 2'000ms },
        { "cut-answers", FaultTarget::Server, 300ms, 1'500ms },
        { "endless", FaultTarget::Server, 200ms, 600ms },
        { "lose-answers", FaultTarget::Server, 300ms, 1'500ms },
        { "deadly-part", FaultTarget::Load, 300ms, 1'500ms },
        { "crowd", FaultTarget::Load, 1'000ms, 3'000ms },
        { "link-delay", FaultTarget::Server, 300ms, 2'000ms },
        { "hold-requests", FaultTarget::Server, 300ms, 2'000ms },
        { "hold-answers", FaultTarget::Server, 300ms, 2'000ms },
        { "reset-link", FaultTarget::Server, 100ms, 200ms },
    };
    return kinds;
}

auto PlannedFault::toJson() const -> std::string
{
    return nlohmann::json { { "at_ms", this->at.count() }, { "fault", this->kind }, { "target", this->target }, { "for_ms", this->duration.count() } }.dump();
}

auto makeGenerator(std::uint32_t seed, const std::string& name) -> std::mt19937
{
    std::vector<std::uint32_t> parts(name.begin(), name.end());
    parts.push_back(seed);
    std::seed_seq sequence(parts.begin(), parts.end());
    return std::mt19937(sequence);
}

auto findUnknownKind(const std::vector<std::string>& names) -> std::string
{
    const auto& kinds = faultKinds();
    for (const auto& name : names) {
        if (std::none_of(kinds.begin(), kinds.end(), [&name](const auto& kind) { return kind.name == name; }))
            return name;
    }
    return "";
}

auto makePlan(const PlanOptions& options) -> std::vector<PlannedFault>
{
    auto generator = makeGenerator(options.seed, "plan");
    std::exponential_distribution<double> gaps(1 / meanGap);
    std::uniform_int_distribution<std::size_t> chooseKind(0, faultKinds().size() - 1);
    std::map<std::pair<FaultTarget, std::size_t>, Milliseconds> busyUntil;
    std::vector<PlannedFault> plan;
    for (auto block = 0ms; block + blockLength <= options.length; block += blockLength) {
        for (auto at = block + firstFault; at < block + faultTime; at += Milliseconds(static_cast<int>(gaps(generator)))) {
            const auto& kind = faultKinds()[chooseKind(generator)];
            const auto targets = kind.target == FaultTarget::Node ? options.nodes : kind.target == FaultTarget::Server ? options.servers
                                                                                                                       : 1;
            const auto target = std::uniform_int_distribution<std::size_t>(0, targets - 1)(generator);
            const Milliseconds duration(std::uniform_int_distribution<Milliseconds::rep>(kind.shortest.count(), kind.longest.count())(generator));
            auto& busy = busyUntil[{ kind.target, target }];
            if (at < busy)
                continue;
            busy = at + duration + (isLong(kind.name) ? recoverySpace : space);
            plan.push_back({ at, kind.name, target, duration });
        }
    }
    std::erase_if(plan, [&options](const PlannedFault& fault) {
        const auto isChosen = options.only.empty() || std::find(options.only.begin(), options.only.end(), fault.kind) != options.only.end();
        return !isChosen || (options.until > 0ms && fault.at >= options.until);
    });
    return plan;
}

} // namespace Primrosefork::Measure
