#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Primrosefork {

/** One header of a message. */
struct HttpHeader {
    std::string name;
    std::string value;
};

/**
 * The headers of a message. Names are compared case-insensitively.
 */
class HttpHeaders {
public:
    HttpHeaders() = default;
    HttpHeaders(std::initializer_list<HttpHeader> headers)
    {
        for (const auto& header : headers)
            this->add(header.name, header.value);
    }

    auto add(std::string name, std::string value) -> void;

    /** Returns the value of the first header called \a name, or nothing. */
    [[nodiscard]] auto get(std::string_view name) const -> std::optional<std::string>;

    /** Returns the number of headers called \a name. */
    [[nodiscard]] auto count(std::string_view name) const -> std::size_t;

    /** Returns the bytes of memory that the headers take; many times their bytes on the wire when they are short. */
    [[nodiscard]] auto memorySize() const -> std::size_t { return this->headers.capacity() * sizeof(HttpHeader) + this->textBytes; }

    [[nodiscard]] auto begin() const { return this->headers.begin(); }
    [[nodiscard]] auto end() const { return this->headers.end(); }

private:
    std::vector<HttpHeader> headers;
    std::size_t textBytes = 0; ///< Memory of names and values.
};

/** A complete request. */
struct HttpRequest {
    std::string method;
    std::string path; ///< Path, begins with '/', without the query.
    std::string query; ///< Query string without the '?'.
    HttpHeaders headers;
    std::string body;

    /** Returns the decoded value of the query parameter \a name, or nothing. */
    [[nodiscard]] auto queryValue(const std::string& name) const -> std::optional<std::string>;

    /** Returns the request target: the path, and the query if there is one. */
    [[nodiscard]] auto target() const -> std::string;
};

/** A complete response. */
struct HttpResponse {
    int status = 200;
    HttpHeaders headers;
    std::string body;
};

namespace HttpStatus {
constexpr int ok = 200;
constexpr int created = 201;
constexpr int badRequest = 400;
constexpr int unauthorized = 401;
constexpr int forbidden = 403;
constexpr int notFound = 404;
constexpr int methodNotAllowed = 405;
constexpr int requestTimeout = 408;
constexpr int conflict = 409;
constexpr int tooLarge = 413;
constexpr int unprocessable = 422;
constexpr int tooManyRequests = 429;
constexpr int internalError = 500;
constexpr int badGateway = 502;
constexpr int unavailable = 503;
constexpr int gatewayTimeout = 504;
} // namespace HttpStatus

/** Returns \a text with every byte except letters, digits and "-_.~" percent-encoded as %XX. */
[[nodiscard]] auto percentEncode(std::string_view text) -> std::string;

} // namespace Primrosefork
