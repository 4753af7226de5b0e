#pragma once

#include "commandline.h"
#include "eventloop.h"
#include "exitcode.h"
#include "httpclient.h"

#include <nlohmann/json.hpp>
#include <string>
#include <system_error>

namespace Primrosefork {

/** The outcome of one call to the administration API. */
struct ApiAnswer {
    std::error_code error; ///< Why no response was received; not set when there is one.
    int status = 0; ///< HTTP status of the response; 0 without a response.
    std::string text; ///< Body of the response.
    std::string writeId; ///< Write id under which a change was sent; empty for a read.

    [[nodiscard]] auto isOk() const -> bool { return !this->error && this->status == HttpStatus::ok; }

    /** Returns the response body as JSON, or a discarded value when it is not valid JSON. */
    [[nodiscard]] auto body() const -> nlohmann::json;

    /** Returns the exit code of the command line for this outcome. */
    [[nodiscard]] auto exitCode() const -> ExitCode;
};

/**
 * Blocking client of the administration API of one node.
 */
class ApiClient {
public:
    /** Uses the node, the credential and the timeout of the command line, which must outlive the client. */
    explicit ApiClient(const CommandLine&);

    /** Sends a GET to \a path below /admin/v1/. */
    auto get(const std::string& path) -> ApiAnswer;

    /** Sends a GET for the state dump to the gateway node with the operators' \a address, which asks for no credential. */
    auto fetchState(const Address& address) -> ApiAnswer;

    /**
     * Sends a change with \a method to \a path below /admin/v1/. It carries the write
     * id of the command line, or a new random one when none was given.
     */
    auto change(const std::string& method, const std::string& path, const nlohmann::json& body) -> ApiAnswer;

private:
    [[nodiscard]] auto authorization() const -> HttpHeaders;
    auto call(const Address&, const HttpRequest&) -> ApiAnswer;

    const CommandLine& line;
    EventLoop loop;
    HttpClient client;
};

} // namespace Primrosefork
