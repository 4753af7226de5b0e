// Three nodes before two servers of a plain service. The traffic is above what the servers take, so that they refuse
// requests. One of them writes a part of its refusals a second time, late, at the point where the next answer is expected.
#include "../kit-2/plainserver.h"

using namespace Review;

namespace {

constexpr int nodeCount = 3;
constexpr double quietRate = 80; ///< Requests a second.
constexpr double burstRate = 190;
constexpr std::chrono::milliseconds deadline = 1s;
constexpr double troubleTime = 5;
constexpr double pauseTime = 4;
constexpr int troubles = 4;

auto configuration() -> std::string
{
    return R"({"version":7,"routes":[{"name":"confirm","host":"shop.example","prefix":"/confirm/","route-type":"non_idempotent","timeout-ms":1000,"slo-ms":150,"priority":0,"backend":"booking","max-attempts":1,"public":false}],)"
           R"("services":[{"name":"booking","health-path":"/healthz","max-conns":110},{"name":"lookup","health-path":"/healthz","max-conns":110}],)"
           R"("limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000},)"
           R"("tenants":[{"name":"salon","api-keys":["key1"]}]})";
}

class Traffic {
public:
    Traffic(const std::vector<std::unique_ptr<Node>>& nodes, Record& record)
        : nodes(nodes)
        , record(record)
    {
    }

    auto sendFor(double seconds, double rate) -> void
    {
        std::exponential_distribution<double> gap(rate);
        auto next = Clock::now();
        const auto end = next + std::chrono::duration_cast<Clock::duration>(std::chrono::duration<double>(seconds));
        while (next < end) {
            std::this_thread::sleep_until(next);
            const auto id = randomHex(this->random);
            const auto& place = this->nodes[this->random() % this->nodes.size()]->place;
            std::thread([this, id, &place] { this->sendOne(id, place); }).detach();
            next += std::chrono::duration_cast<Clock::duration>(std::chrono::duration<double>(gap(this->random)));
        }
    }

    auto answers() -> std::map<std::string, int>
    {
        const std::lock_guard lock(this->mutex);
        return this->statuses;
    }

private:
    auto sendOne(const std::string& id, const NodePlace& place) -> void
    {
        const std::string body = "{\"chair\":1}";
        const auto text = "POST /confirm/2f HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: " + id + "\r\nX-Deadline-Ms: 1000\r\nAuthorization: Token key1\r\nConnection: close\r\nContent-Length: "
            + std::to_string(body.size()) + "\r\n\r\n" + body;
        this->record.write("sent " + id + " to " + place.id);
        const auto answer = ask(place, text, deadline);
        this->record.write("answer " + id + " " + std::to_string(answer.status));
        const std::lock_guard lock(this->mutex);
        this->statuses[id] = answer.status;
    }

    const std::vector<std::unique_ptr<Node>>& nodes;
    Record& record;
    std::mt19937_64 random { std::random_device {}() };
    std::mutex mutex;
    std::map<std::string, int> statuses;
};

} // namespace

auto main(int argc, char** argv) -> int
{
    if (argc != 4)
        return exitNotRun;
    std::signal(SIGPIPE, SIG_IGN);
    const std::string program = argv[1];
    const std::string folder = argv[2];
    Record record(argv[3]);
    RunBook book;
    Store store("127.0.0.1");
    CloudApi cloud("127.0.0.1", record);
    PlainServer first("i-first", "127.0.0.1", 6, 4, 30ms, book, record);
    PlainServer second("i-second", "127.0.0.1", 6, 4, 30ms, book, record);
    store.put("op/config", configuration());
    store.put("servers/i-first", first.registration("booking"));
    store.put("servers/i-second", second.registration("lookup"));
    std::vector<std::unique_ptr<Node>> nodes;
    for (int number = 1; number <= nodeCount; ++number) {
        nodes.push_back(std::make_unique<Node>(program, folder, NodePlace { "entry-" + std::to_string(number), "127.0.0." + std::to_string(number + 1) }, store.listener.address(), cloud.listener.address()));
        nodes.back()->start();
    }
    for (const auto& node : nodes) {
        if (!node->waitUntilReady()) {
            record.write(node->place.id + " is not ready");
            return exitNotRun;
        }
    }
    sleepFor(5);
    auto& traffic = *new Traffic(nodes, record); // Kept for the threads of late answers.
    traffic.sendFor(4, quietRate);
    for (int number = 0; number < troubles; ++number) {
        first.isDoubling = troubleIsOn();
        record.write(std::string("burst begins, late extra answers: ") + (troubleIsOn() ? "yes" : "no"));
        traffic.sendFor(troubleTime, burstRate);
        first.isDoubling = false;
        record.write("burst ends");
        traffic.sendFor(pauseTime, quietRate);
    }
    sleepFor(2);

    std::size_t served = 0;
    const auto statuses = traffic.answers();
    for (const auto& [id, status] : statuses)
        served += status == 200 ? 1 : 0;
    auto broken = 0;
    auto falselyRefused = 0;
    for (const auto& [id, servers] : book.allRuns()) {
        const auto status = statuses.find(id);
        const auto promised = status != statuses.end() && (status->second == 503 || status->second == 429 || status->second == 408 || status->second == 421);
        if (promised) {
            ++falselyRefused;
            record.write("REFUSED " + id + " was answered " + std::to_string(status->second) + " and has run");
        }
        if (servers.size() > 1) {
            ++broken;
            record.write("TWICE " + id + " ran " + std::to_string(servers.size()) + " times");
        }
    }
    std::ostringstream summary;
    summary << "requests " << statuses.size() << ", served " << served << ", refusals by servers " << book.refusalCount() << ", extra answers " << first.doubled << ", run more than once " << broken
            << ", answered as not run but run " << falselyRefused;
    record.write(summary.str());
    std::cout << summary.str() << std::endl;
    nodes.clear();
    if (served < 500)
        std::_Exit(exitNotRun);
    std::_Exit(broken + falselyRefused > 0 ? exitBroken : exitHeld);
}
