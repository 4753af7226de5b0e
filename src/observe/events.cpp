#include "events.h"

#include <array>

namespace Primrosefork {

namespace {

constexpr std::array descriptions {
    EventDescription { Event::NodeStarted, Severity::Info, "nodeStarted" },
    EventDescription { Event::NodeDraining, Severity::Info, "nodeDraining" },
    EventDescription { Event::NodeStopped, Severity::Info, "nodeStopped" },
    EventDescription { Event::ListenFailed, Severity::Error, "listenFailed" },
    EventDescription { Event::StopRepeated, Severity::Info, "stopRepeated" },
    EventDescription { Event::DrainTimedOut, Severity::Error, "drainTimedOut" },
    EventDescription { Event::StateDumped, Severity::Info, "stateDumped" },
    EventDescription { Event::SettingsReloaded, Severity::Info, "settingsReloaded" },
    EventDescription { Event::SettingsRejected, Severity::Error, "settingsRejected" },
    EventDescription { Event::ConfigurationApplied, Severity::Info, "configurationApplied" },
    EventDescription { Event::ConfigurationRecordRejected, Severity::Error, "configurationRecordRejected" },
    EventDescription { Event::ConfigurationOlderIgnored, Severity::Warning, "configurationOlderIgnored" },
    EventDescription { Event::ServiceChanged, Severity::Info, "serviceChanged" },
    EventDescription { Event::ConfigurationRestored, Severity::Warning, "configurationRestored" },
    EventDescription { Event::ChangeNotAccepted, Severity::Warning, "changeNotAccepted" },
    EventDescription { Event::ConfigurationUnconfirmed, Severity::Warning, "configurationUnconfirmed" },
    EventDescription { Event::StoreUnavailable, Severity::Warning, "storeUnavailable" },
    EventDescription { Event::StoreRecovered, Severity::Info, "storeRecovered" },
    EventDescription { Event::InstanceListUnavailable, Severity::Warning, "instanceListUnavailable" },
    EventDescription { Event::WatchGivenUp, Severity::Info, "watchGivenUp" },
    EventDescription { Event::ObserverRoleChanged, Severity::Info, "observerRoleChanged" },
    EventDescription { Event::ObserverSilent, Severity::Info, "observerSilent" },
    EventDescription { Event::StoreRestored, Severity::Warning, "storeRestored" },
    EventDescription { Event::BackendAdded, Severity::Info, "backendAdded" },
    EventDescription { Event::BackendLeaving, Severity::Info, "backendLeaving" },
    EventDescription { Event::BackendRemoved, Severity::Info, "backendRemoved" },
    EventDescription { Event::ReclaimNoticed, Severity::Warning, "reclaimNoticed" },
    EventDescription { Event::RegistrationUnreadable, Severity::Warning, "registrationUnreadable" },
    EventDescription { Event::RegistrationLapsed, Severity::Warning, "registrationLapsed" },
    EventDescription { Event::BackendLeftOut, Severity::Info, "backendLeftOut" },
    EventDescription { Event::BackendLimited, Severity::Info, "backendLimited" },
    EventDescription { Event::RegistrationOutdated, Severity::Info, "registrationOutdated" },
    EventDescription { Event::AttemptFailed, Severity::Warning, "attemptFailed" },
    EventDescription { Event::AnswerCutOff, Severity::Error, "answerCutOff" },
    EventDescription { Event::StreamMoved, Severity::Info, "streamMoved" },
    EventDescription { Event::StreamSilent, Severity::Warning, "streamSilent" },
    EventDescription { Event::AnswerHandedBack, Severity::Info, "answerHandedBack" },
    EventDescription { Event::AttemptRefused, Severity::Info, "attemptRefused" },
    EventDescription { Event::RunMoved, Severity::Info, "runMoved" },
    EventDescription { Event::RequestAnswered, Severity::Info, "requestAnswered" },
    EventDescription { Event::RequestNotAnswered, Severity::Info, "requestNotAnswered" },
    EventDescription { Event::RequestRefused, Severity::Info, "requestRefused" },
    EventDescription { Event::NoRoom, Severity::Info, "noRoom" },
    EventDescription { Event::PromptQuarantined, Severity::Warning, "promptQuarantined" },
    EventDescription { Event::PromptReleased, Severity::Info, "promptReleased" },
    EventDescription { Event::CallersLimited, Severity::Warning, "callersLimited" },
    EventDescription { Event::ClaimsUnavailable, Severity::Error, "claimsUnavailable" },
    EventDescription { Event::ClaimsRecovered, Severity::Info, "claimsRecovered" },
    EventDescription { Event::OutcomeNotKept, Severity::Warning, "outcomeNotKept" },
    EventDescription { Event::ClaimUnreadable, Severity::Error, "claimUnreadable" },
    EventDescription { Event::CallUndecided, Severity::Warning, "callUndecided" },
    EventDescription { Event::LeadershipTaken, Severity::Info, "leadershipTaken" },
    EventDescription { Event::LeadershipLost, Severity::Warning, "leadershipLost" },
    EventDescription { Event::LeaderChanged, Severity::Info, "leaderChanged" },
    EventDescription { Event::UsageReported, Severity::Info, "usageReported" },
    EventDescription { Event::UsageNotReported, Severity::Warning, "usageNotReported" },
    EventDescription { Event::UsageRecordUnreadable, Severity::Error, "usageRecordUnreadable" },
    EventDescription { Event::EnginesOrdered, Severity::Info, "enginesOrdered" },
    EventDescription { Event::EngineOrderFailed, Severity::Warning, "engineOrderFailed" },
    EventDescription { Event::QuotaAccountOpened, Severity::Info, "quotaAccountOpened" },
    EventDescription { Event::RolloutBegan, Severity::Info, "rolloutBegan" },
    EventDescription { Event::RolloutStepped, Severity::Info, "rolloutStepped" },
    EventDescription { Event::RolloutCompleted, Severity::Info, "rolloutCompleted" },
    EventDescription { Event::RolloutRolledBack, Severity::Warning, "rolloutRolledBack" },
    EventDescription { Event::RolloutOrderUnreadable, Severity::Warning, "rolloutOrderUnreadable" },
    EventDescription { Event::VersionStopped, Severity::Warning, "versionStopped" },
    EventDescription { Event::RolloutStateRestored, Severity::Info, "rolloutStateRestored" },
    EventDescription { Event::OverflowChanged, Severity::Info, "overflowChanged" },
    EventDescription { Event::SharedLoadOpened, Severity::Info, "sharedLoadOpened" },
    EventDescription { Event::SharedLoadReceived, Severity::Info, "sharedLoadReceived" },
    EventDescription { Event::SharedLoadExpired, Severity::Warning, "sharedLoadExpired" },
    EventDescription { Event::PeerJoined, Severity::Info, "peerJoined" },
    EventDescription { Event::PeerSuspected, Severity::Info, "peerSuspected" },
    EventDescription { Event::PeerDied, Severity::Warning, "peerDied" },
    EventDescription { Event::PeerLeft, Severity::Info, "peerLeft" },
    EventDescription { Event::PeerDatagramsRefused, Severity::Warning, "peerDatagramsRefused" },
    EventDescription { Event::NodePaused, Severity::Warning, "nodePaused" },
    EventDescription { Event::RevisionConfirmed, Severity::Info, "revisionConfirmed" },
    EventDescription { Event::ConfigurationFetched, Severity::Info, "configurationFetched" },
    EventDescription { Event::ConfigurationFetchFailed, Severity::Warning, "configurationFetchFailed" },
};

} // namespace

auto eventDescriptions() -> std::span<const EventDescription>
{
    return descriptions;
}

} // namespace Primrosefork
