#include "replay.h"

#include <algorithm>
#include <csignal>
#include <stdexcept>
#include <utility>

using namespace std::chrono_literals;

namespace Primrosefork::Measure {

namespace {

using Json = nlohmann::json;

constexpr std::size_t bytesPerToken = 4;

auto toOptions(const Json& cluster) -> Testkit::ClusterOptions
{
    Testkit::ClusterOptions options;
    options.nodes = cluster.value("nodes", std::size_t { 3 });
    options.engines = cluster.value("engines", std::size_t { 6 });
    options.plainServices = cluster.value("plain_services", std::size_t { 3 });
    options.zones = cluster.value("zones", std::size_t { 3 });
    options.hasProcessPerZone = true;
    options.engine = cluster.value("engine", Json::object());
    options.plainService = cluster.value("plain_service", Json::object());
    options.settings = cluster.value("settings", Json::object());
    return options;
}

auto indexOf(const std::string& name) -> std::size_t
{
    return static_cast<std::size_t>(std::stoul(name.substr(name.rfind('-') + 1)));
}

auto checkAtMost(const std::string& name, std::int64_t figure, std::int64_t limit) -> ReplayResult
{
    return { name + " <= " + std::to_string(limit), std::to_string(figure), figure <= limit };
}

} // namespace

Replay::Replay(const Trace& trace)
    : trace(trace)
    , options(toOptions(trace.cluster))
    , cluster(this->options)
    , bookings(this->cluster)
    , random(trace.seed)
{
}

Replay::~Replay() = default;

auto Replay::run() -> std::vector<ReplayResult>
{
    if (!this->cluster.start())
        return { { "the cluster starts", "not all nodes were ready", false } };
    this->startedAt = EventLoop::now();
    for (const auto& step : this->trace.steps) {
        this->waitUntil(this->startedAt + step.at);
        this->perform(step);
    }
    std::vector<ReplayResult> results;
    const auto isAnswered = this->waitForAnswers();
    results.push_back({ "every call is answered in time", isAnswered ? "yes" : "no", isAnswered });
    for (const auto& expectation : this->trace.expectations)
        results.push_back(this->check(expectation));
    return results;
}

auto Replay::waitUntil(EventLoop::TimePoint moment) -> void
{
    const auto isReached = [this, moment] {
        this->sendArrivals();
        return EventLoop::now() >= moment;
    };
    this->cluster.client().waitUntil(isReached, this->trace.limit);
}

auto Replay::waitForAnswers() -> bool
{
    const auto isAnswered = [this] {
        this->sendArrivals();
        return this->arrivals.empty() && this->bookings.areDone()
            && std::all_of(this->callers.begin(), this->callers.end(), [](const auto& caller) { return caller->record().isComplete; });
    };
    return this->cluster.client().waitUntil(isAnswered, this->trace.limit);
}

auto Replay::randomBetween(std::int64_t from, std::int64_t to) -> std::int64_t
{
    const auto span = static_cast<std::uint64_t>(to - from + 1);
    return from + static_cast<std::int64_t>(this->random() % span);
}

auto Replay::addArrivals(const TraceStep& step) -> void
{
    const auto& json = step.arguments;
    const auto over = json.value("over_ms", std::int64_t { 0 });
    this->idleLimit = std::chrono::milliseconds(json.value("idle_limit_ms", this->idleLimit.count()));
    for (std::int64_t index = 0; index < json.at("count").get<std::int64_t>(); ++index) {
        Arrival arrival;
        arrival.at = EventLoop::now() + std::chrono::milliseconds(this->randomBetween(0, over));
        arrival.isBooking = step.action == "bookings";
        arrival.node = static_cast<std::size_t>(this->randomBetween(0, static_cast<std::int64_t>(this->options.nodes) - 1));
        arrival.tokens = this->randomBetween(json.value("tokens_from", std::int64_t { 1 }), json.value("tokens_to", std::int64_t { 1 }));
        arrival.promptTokens = json.value("prompt_tokens", std::int64_t { 0 });
        this->arrivals.push_back(arrival);
    }
    std::stable_sort(this->arrivals.begin(), this->arrivals.end(), [](const Arrival& first, const Arrival& second) { return first.at > second.at; });
}

auto Replay::sendArrivals() -> void
{
    while (!this->arrivals.empty() && this->arrivals.back().at <= EventLoop::now()) {
        const auto arrival = this->arrivals.back();
        this->arrivals.pop_back();
        if (arrival.isBooking)
            this->bookings.send(arrival.node);
        else
            this->startStream(arrival);
    }
}

auto Replay::startStream(const Arrival& arrival) -> void
{
    Testkit::StreamRequest order;
    for (std::size_t node = 0; node < this->options.nodes; ++node)
        order.nodes.push_back(this->cluster.callersAddress(node));
    order.firstNode = arrival.node;
    order.prompt = this->trace.name + " " + std::to_string(this->callers.size());
    while (order.prompt.size() < static_cast<std::size_t>(arrival.promptTokens) * bytesPerToken)
        order.prompt += " " + std::to_string(order.prompt.size());
    order.tokens = arrival.tokens;
    order.idleTimeout = this->idleLimit;
    this->callers.push_back(std::make_unique<Testkit::StreamCaller>(this->cluster.client(), std::move(order)));
    this->callers.back()->begin();
}

auto Replay::perform(const TraceStep& step) -> void
{
    const auto& json = step.arguments;
    const auto name = json.value("process", json.value("stand_in", ""));
    if (step.action == "streams" || step.action == "bookings")
        return this->addArrivals(step);
    if (step.action == "kill")
        return this->process(name).sendSignal(SIGKILL);
    if (step.action == "terminate")
        return this->process(name).sendSignal(SIGTERM);
    if (step.action == "freeze")
        return this->process(name).sendSignal(SIGSTOP);
    if (step.action == "thaw")
        return this->process(name).sendSignal(SIGCONT);
    if (step.action == "notice")
        static_cast<void>(this->cluster.control(this->cluster.cloudApi(), { { "reclaim", json.at("instances") }, { "remaining_ms", json.at("remaining_ms") } }));
    else if (step.action == "control")
        static_cast<void>(this->cluster.control(this->address(name), json.at("body")));
    else if (step.action == "sample")
        this->samples[name] = this->cluster.control(this->address(name), Json::object()).value("started_streams", std::int64_t { 0 });
    else if (step.action == "start")
        this->cluster.startNode(indexOf(name));
    else
        throw std::runtime_error("unknown action " + step.action);
}

auto Replay::process(const std::string& name) -> Testkit::Process&
{
    if (name.starts_with("node-"))
        return this->cluster.node(indexOf(name));
    if (name.starts_with("engines-"))
        return this->cluster.engineProcess(indexOf(name));
    throw std::runtime_error("unknown process " + name);
}

auto Replay::address(const std::string& name) const -> Address
{
    if (name == "store")
        return this->cluster.keyValueService();
    if (name == "instance_list")
        return this->cluster.instanceList();
    if (name == "cloud")
        return this->cluster.cloudApi();
    if (name.starts_with("plain-"))
        return this->cluster.plainServiceAddress(indexOf(name));
    if (name.starts_with("engine-"))
        return this->cluster.engineAddress(indexOf(name));
    throw std::runtime_error("unknown stand-in " + name);
}

auto Replay::check(const TraceExpectation& expectation) -> ReplayResult
{
    const auto totals = Testkit::totalsOf(this->callers);
    const auto& json = expectation.arguments;
    const auto count = static_cast<std::int64_t>(this->callers.size());
    if (expectation.name == "right") {
        const auto figure = std::to_string(totals.correct) + " of " + std::to_string(count) + ", gaps " + std::to_string(totals.gaps) + ", repeats "
            + std::to_string(totals.repeats) + ", wrong tokens " + std::to_string(totals.wrongTokens);
        return { "every stream has the expected bytes and offsets", figure, totals.correct == count };
    }
    if (expectation.name == "longest_stall_ms") {
        auto result = checkAtMost("longest stall in ms", totals.longestStall.count(), json.at("at_most").get<std::int64_t>());
        result.details = this->describeLongestStall();
        return result;
    }
    if (expectation.name == "longest_first_token_ms")
        return checkAtMost("longest time to the first token in ms", totals.longestFirstToken.count(), json.at("at_most").get<std::int64_t>());
    if (expectation.name == "asked_again")
        return checkAtMost("repeated requests of callers", totals.requests - count, json.at("at_most").get<std::int64_t>());
    if (expectation.name == "recomputed_tokens")
        return checkAtMost("recomputed prompt and answer tokens", this->recomputedTokens(), json.at("at_most").get<std::int64_t>());
    if (expectation.name == "exits") {
        const auto code = this->process(json.at("process").get<std::string>()).waitForExit(this->trace.limit);
        return { json.at("process").get<std::string>() + " exits with code 0", code ? std::to_string(*code) : "still running", code == 0 };
    }
    if (expectation.name == "no_new_work") {
        const auto name = json.at("stand_in").get<std::string>();
        const auto started = this->cluster.control(this->address(name), Json::object()).value("started_streams", std::int64_t { -1 });
        return { "no new streams on " + name + " after the sample", std::to_string(started - this->samples.at(name)), started == this->samples.at(name) };
    }
    if (expectation.name == "bookings")
        return this->checkBookings(expectation);
    if (expectation.name == "engines_idle")
        return this->checkIdle(expectation);
    throw std::runtime_error("unknown expectation " + expectation.name);
}

auto Replay::checkBookings(const TraceExpectation& expectation) -> ReplayResult
{
    const auto totals = this->bookings.totals(this->options.plainServices);
    const auto least = expectation.arguments.value("confirmed_at_least", std::int64_t { 0 });
    const auto figure = std::to_string(totals.confirmed) + " of " + std::to_string(totals.calls) + " confirmed, run twice " + std::to_string(totals.runTwice)
        + ", wrongly \"not run\" " + std::to_string(totals.wronglyNotRun) + ", wrongly confirmed " + std::to_string(totals.wronglyConfirmed);
    const auto hasPassed = totals.confirmed >= least && totals.runTwice + totals.wronglyNotRun + totals.wronglyConfirmed == 0;
    std::vector<std::string> lines;
    for (const auto& [outcome, count] : totals.outcomes)
        lines.push_back(std::to_string(count) + " calls to " + outcome);
    return { "each booking is run at most once and its answer matches the runs", figure, hasPassed, lines };
}

auto Replay::checkIdle(const TraceExpectation& expectation) -> ReplayResult
{
    constexpr auto idleTime = 10s;
    const auto engines = expectation.arguments.at("stand_ins").get<std::vector<std::string>>();
    const auto isIdle = [&] {
        return std::all_of(engines.begin(), engines.end(), [this](const std::string& name) {
            const auto state = this->cluster.control(this->address(name), Json::object());
            return state.is_object() && state.value("running", -1) == 0 && state.value("waiting", -1) == 0;
        });
    };
    const auto hasPassed = this->cluster.client().waitUntil(isIdle, idleTime);
    return { "no engine still runs or queues a stream whose caller has ended", hasPassed ? "none" : "some", hasPassed };
}

auto Replay::timeOf(EventLoop::TimePoint moment) const -> std::string
{
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(moment - this->startedAt).count()) + " ms";
}

auto Replay::describeLongestStall() const -> std::vector<std::string>
{
    const auto isShorter = [](const auto& first, const auto& second) { return first->record().longestStall < second->record().longestStall; };
    const auto caller = std::max_element(this->callers.begin(), this->callers.end(), isShorter);
    if (caller == this->callers.end())
        return {};
    const auto& record = (*caller)->record();
    std::vector<std::string> lines { "stream " + std::to_string(caller - this->callers.begin()) + " stalled from "
        + this->timeOf(record.longestStallEnd - record.longestStall) + " to " + this->timeOf(record.longestStallEnd) };
    for (const auto& sent : record.sent)
        lines.push_back("node-" + std::to_string(sent.node) + " was asked at " + this->timeOf(sent.sent) + " from offset " + std::to_string(sent.offset)
            + ": status " + std::to_string(sent.status) + ", " + std::to_string(sent.received) + " tokens until " + this->timeOf(sent.ended));
    return lines;
}

auto Replay::recomputedTokens() -> std::int64_t
{
    double tokens = 0;
    for (std::size_t node = 0; node < this->options.nodes; ++node) {
        if (this->cluster.node(node).isRunning())
            tokens += Testkit::readMetric(this->cluster.client(), this->cluster.operatorsAddress(node), "recomputed_tokens_total");
    }
    return static_cast<std::int64_t>(tokens);
}

} // namespace Primrosefork::Measure
