#pragma once

#include "cloudstandin.h"
#include "enginestandin.h"
#include "eventloop.h"
#include "instanceliststandin.h"
#include "kvstandin.h"
#include "plainstandin.h"

#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <vector>

namespace Primrosefork {

/**
 * The stand-ins of one process, as the world file describes them. Its instance list
 * contains its engines and plain services.
 */
class World {
public:
    World(EventLoop&, const nlohmann::json& description);

    /** Starts to listen on the addresses of all stand-ins; returns the first error. */
    auto listen() -> std::error_code;

private:
    struct Listener {
        Address address;
        std::function<std::error_code(const Address&)> listen;
    };

    auto addEngine(const nlohmann::json&) -> void;
    auto addPlain(const nlohmann::json&) -> void;
    /** Registers a listener for the address in the member \a key; a stand-in without a valid address is not opened. */
    auto addListener(const nlohmann::json& description, const std::string& key, std::function<std::error_code(const Address&)>) -> void;

    EventLoop& loop;
    KvStandin keyValueService;
    InstanceListStandin instanceList;
    CloudStandin cloud;
    std::vector<std::unique_ptr<EngineStandin>> engines;
    std::vector<std::unique_ptr<PlainStandin>> plainServices;
    std::vector<Listener> listeners;
};

} // namespace Primrosefork
