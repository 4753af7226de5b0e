#include "trace.h"

#include <algorithm>
#include <fstream>
#include <stdexcept>
#include <utility>

namespace Primrosefork::Measure {

namespace {

using Json = nlohmann::json;

constexpr int traceVersion = 1;

auto readHeader(const Json& json, Trace& trace) -> void
{
    if (json.at("version").get<int>() != traceVersion)
        throw std::runtime_error("unsupported trace version, expected 1");
    trace.name = json.at("trace").get<std::string>();
    trace.promise = json.at("promise").get<std::string>();
    trace.seed = json.at("seed").get<std::uint64_t>();
    trace.limit = std::chrono::milliseconds(json.value("limit_ms", trace.limit.count()));
    trace.cluster = json.value("cluster", Json::object());
}

auto readLine(const Json& json, Trace& trace) -> void
{
    if (json.contains("trace"))
        readHeader(json, trace);
    else if (json.contains("do"))
        trace.steps.push_back({ std::chrono::milliseconds(json.at("at_ms").get<std::int64_t>()), json.at("do").get<std::string>(), json });
    else
        trace.expectations.push_back({ json.at("expect").get<std::string>(), json });
}

} // namespace

auto readTrace(const std::string& path) -> Trace
{
    Trace trace;
    std::ifstream file(path);
    int number = 0;
    for (std::string line; std::getline(file, line);) {
        ++number;
        if (line.empty() || line.front() == '#')
            continue;
        try {
            readLine(Json::parse(line), trace);
        } catch (const std::exception& error) {
            throw std::runtime_error(path + ":" + std::to_string(number) + ": " + error.what());
        }
    }
    if (trace.name.empty())
        throw std::runtime_error(path + ": missing header line with the key \"trace\"");
    std::stable_sort(trace.steps.begin(), trace.steps.end(), [](const TraceStep& first, const TraceStep& second) { return first.at < second.at; });
    return trace;
}

} // namespace Primrosefork::Measure
