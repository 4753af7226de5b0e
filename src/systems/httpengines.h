#pragma once

#include "engine.h"
#include "httpclient.h"

namespace Primrosefork {

/**
 * Speaks to model engines over HTTP; streams come as one JSON object a line.
 * docs/SYSTEMS.md has the calls.
 */
class HttpEngines : public Engines {
public:
    HttpEngines(HttpClient&, std::chrono::milliseconds timeout);

    auto generate(const Address& engine, const GenerationRequest&, const GenerationTimeouts&, GenerationHandlers)
        -> std::shared_ptr<Generation> override;
    auto fetchLoad(const Address& engine, LoadHandler) -> void override;

private:
    HttpClient& client;
    std::chrono::milliseconds timeout;
};

} // namespace Primrosefork
