#pragma once

#include "engine.h"
#include "httpclient.h"

namespace Primrosefork {

/**
 * Calls model engines over HTTP; a stream is received as one JSON object per
 * line. docs/SYSTEMS.md describes the calls.
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
