#pragma once

#include <span>

namespace Primrosefork {

/** Severity of an event, which determines its log level. */
enum class Severity {
    Debug,
    Info,
    Warning,
    Error,
};

/**
 * The numbered events of the log. A number is never reused for another event;
 * docs/EVENTS.md lists the causes and remedies of each.
 */
enum class Event {
    NodeStarted = 1001,
    NodeDraining = 1002,
    NodeStopped = 1003,
    ListenFailed = 1004,
    StopRepeated = 1005,
    DrainTimedOut = 1006,
    StateDumped = 1007,
    SettingsReloaded = 1008,
    SettingsRejected = 1009,
    ConfigurationApplied = 2001,
    ConfigurationRecordRejected = 2002,
    ConfigurationOlderIgnored = 2003,
    ServiceChanged = 2004,
    ConfigurationRestored = 2005,
    ChangeNotAccepted = 2006,
    ConfigurationUnconfirmed = 2007,
    StoreUnavailable = 3001,
    StoreRecovered = 3002,
    InstanceListUnavailable = 3003,
    WatchGivenUp = 3004,
    ObserverRoleChanged = 3005,
    ObserverSilent = 3006,
    StoreRestored = 3007,
    BackendAdded = 3101,
    BackendLeaving = 3102,
    BackendRemoved = 3103,
    ReclaimNoticed = 3104,
    RegistrationUnreadable = 3105,
    RegistrationLapsed = 3106,
    BackendLeftOut = 3107,
    BackendLimited = 3108,
    RegistrationOutdated = 3109,
    AttemptFailed = 4001,
    AnswerCutOff = 4002,
    StreamMoved = 4003,
    StreamSilent = 4004,
    AnswerHandedBack = 4005,
    AttemptRefused = 4006,
    RunMoved = 4007,
    RequestAnswered = 4101,
    RequestNotAnswered = 4102,
    RequestRefused = 4103,
    NoRoom = 4104,
    PromptQuarantined = 4201,
    PromptReleased = 4202,
    CallersLimited = 4401,
    ClaimsUnavailable = 5001,
    ClaimsRecovered = 5002,
    OutcomeNotKept = 5003,
    ClaimUnreadable = 5004,
    CallUndecided = 5005,
    LeadershipTaken = 6001,
    LeadershipLost = 6002,
    LeaderChanged = 6003,
    UsageReported = 6101,
    UsageNotReported = 6102,
    UsageRecordUnreadable = 6103,
    UsageStored = 6104,
    UsageWindowsClosed = 6105,
    EnginesOrdered = 6201,
    EngineOrderFailed = 6202,
    QuotaAccountOpened = 6301,
    RolloutBegan = 6401,
    RolloutStepped = 6402,
    RolloutCompleted = 6403,
    RolloutRolledBack = 6404,
    RolloutOrderUnreadable = 6405,
    VersionStopped = 6406,
    RolloutStateRestored = 6407,
    OverflowChanged = 6501,
    SharedLoadOpened = 6601,
    SharedLoadReceived = 6602,
    SharedLoadExpired = 6603,
    PeerJoined = 7001,
    PeerSuspected = 7002,
    PeerDied = 7003,
    PeerLeft = 7004,
    PeerDatagramsRefused = 7005,
    NodePaused = 7006,
    RevisionConfirmed = 7007,
    ConfigurationFetched = 7008,
    ConfigurationFetchFailed = 7009,
};

/** Severity and name of an event. */
struct EventDescription {
    Event event;
    Severity severity;
    const char* name;
};

/** Returns the descriptions of all events, ordered by number. */
[[nodiscard]] auto eventDescriptions() -> std::span<const EventDescription>;

} // namespace Primrosefork
