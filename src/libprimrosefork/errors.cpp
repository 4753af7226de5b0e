#include "errors.h"

#include <string>

namespace Primrosefork {

namespace {

class Category : public std::error_category {
public:
    [[nodiscard]] auto name() const noexcept -> const char* override { return "primrosefork"; }

    [[nodiscard]] auto message(int value) const -> std::string override
    {
        switch (static_cast<Error>(value)) {
        case Error::Timeout:
            return "timed out";
        case Error::ConnectionFailed:
            return "connection failed";
        case Error::ConnectionLost:
            return "connection lost";
        case Error::Cancelled:
            return "cancelled";
        case Error::BadAnswer:
            return "malformed answer";
        case Error::TooLarge:
            return "size limit exceeded";
        case Error::Refused:
            return "refused";
        case Error::NotFound:
            return "not found";
        case Error::Conflict:
            return "revision conflict";
        case Error::Unavailable:
            return "unavailable";
        case Error::StaleFence:
            return "stale fencing number";
        case Error::HistoryLost:
            return "history lost";
        }
        return "unknown error";
    }
};

} // namespace

auto errorCategory() -> const std::error_category&
{
    static const Category category;
    return category;
}

auto make_error_code(Error error) -> std::error_code // NOLINT(readability-identifier-naming)
{
    return { static_cast<int>(error), errorCategory() };
}

} // namespace Primrosefork
