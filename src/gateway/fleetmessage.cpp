#include "fleetmessage.h"

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/chrono.hpp>
#include <cereal/types/map.hpp>
#include <cereal/types/optional.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <exception>
#include <sstream>

namespace Primrosefork {

// cereal finds these functions by argument-dependent lookup, so they are in the namespace of the types.

template <typename Archive>
static auto serialize(Archive& archive, RecentUse& value) -> void
{
    archive(value.inShortSpan, value.inMiddleSpan, value.inWindow);
}

template <typename Archive>
static auto serialize(Archive& archive, WorkspaceReport& value) -> void
{
    archive(value.workspace, value.requestedPerSecond, value.locallyGrantedUnits, value.recentUse);
}

template <typename Archive>
static auto serialize(Archive& archive, WindowReport& value) -> void
{
    archive(value.window, value.counts);
}

template <typename Archive>
static auto serialize(Archive& archive, ServiceReport& value) -> void
{
    archive(value.service, value.readTokensPerSecond, value.engineTokensPerSecond, value.openRequests, value.waitingRequests, value.openStreams);
}

template <typename Archive>
static auto serialize(Archive& archive, NodeReport& value) -> void
{
    archive(value.upTime, value.workspaces, value.windows, value.services);
}

template <typename Archive>
static auto serialize(Archive& archive, QuotaShare& value) -> void
{
    archive(value.workspace, value.share);
}

template <typename Archive>
static auto serialize(Archive& archive, StreamEngines& value) -> void
{
    archive(value.service, value.count);
}

template <typename Archive>
static auto serialize(Archive& archive, FleetAnswer& value) -> void
{
    archive(value.nodes, value.reportSequence, value.configurationRevision, value.configurationAge, value.registryRevision, value.shares, value.streamEngines);
}

template <typename Archive>
static auto serialize(Archive& archive, QuotaRequest& value) -> void
{
    archive(value.number, value.workspace, value.units);
}

template <typename Archive>
static auto serialize(Archive& archive, QuotaReply& value) -> void
{
    archive(value.number, value.verdict, value.wait);
}

template <typename Archive>
static auto serialize(Archive& archive, FleetMessage& value) -> void
{
    archive(value.sender, value.session, value.sequence, value.report, value.answer, value.quotaRequest, value.quotaReply);
}

auto encodeFleetMessage(const FleetMessage& message) -> std::string
{
    std::ostringstream stream;
    cereal::PortableBinaryOutputArchive archive(stream);
    archive(message);
    return std::move(stream).str();
}

auto decodeFleetMessage(std::string_view bytes) -> std::optional<FleetMessage>
{
    try {
        std::istringstream stream { std::string(bytes) };
        cereal::PortableBinaryInputArchive archive(stream);
        FleetMessage message;
        archive(message);
        return message;
    } catch (const std::exception&) {
        return std::nullopt;
    }
}

} // namespace Primrosefork
