#pragma once

#include <chrono>
#include <map>
#include <set>
#include <string>

namespace Primrosefork {

/**
 * The backend servers that streams of this node found silent, so that others
 * keep away from them. After a while one stream may try again.
 */
class SilentServers {
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    /** A stream on server \a id had no piece for too long. */
    auto fellSilent(const std::string& id, TimePoint now) -> void;

    /** Server \a id is given a stream: no other one tries it until it spoke. */
    auto tried(const std::string& id, TimePoint now) -> void;

    /** A piece came from server \a id. */
    auto spoke(const std::string& id) -> void;

    /** Returns whether a stream found server \a id silent after \a moment, and nothing came from it since. */
    [[nodiscard]] auto isFoundSilentAfter(const std::string& id, TimePoint moment) const -> bool;

    /** Returns whether new streams keep away from server \a id. */
    [[nodiscard]] auto isSilent(const std::string& id, TimePoint now) const -> bool;

    /** Adds the servers that new streams keep away from to \a ids. */
    auto addSilent(std::set<std::string>& ids, TimePoint now) const -> void;

private:
    struct Silence {
        TimePoint found;
        TimePoint avoidUntil;
    };

    std::map<std::string, Silence> silences; ///< By server id.
};

} // namespace Primrosefork
