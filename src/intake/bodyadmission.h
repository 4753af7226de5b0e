#pragma once

#include <cstddef>

namespace Primrosefork {

/**
 * Decides which bodies of requests may be kept until their requests end.
 *
 * A body that was admitted is never given up, so admitted bodies and all else that
 * is never given up are limited to a part of the buffer budget. Large bodies get less of it than
 * small ones, so that a few large ones do not end the service for small requests.
 */
class BodyAdmission {
public:
    static constexpr std::size_t smallBytes = 65'536; ///< Size up to which a body is small.

    /** The share of one admitted body; the body counts until it is destroyed. */
    class Share {
    public:
        Share(BodyAdmission&, std::size_t bytes);
        ~Share();
        Share(const Share&) = delete;
        auto operator=(const Share&) -> Share& = delete;

    private:
        BodyAdmission& admission;
        std::size_t bytes;
    };

    /** \a budget is the limit of all buffers, in bytes. */
    explicit BodyAdmission(std::size_t budget)
        : budget(budget)
    {
    }
    BodyAdmission(const BodyAdmission&) = delete;
    auto operator=(const BodyAdmission&) -> BodyAdmission& = delete;

    /**
     * Returns whether a body of \a bytes may be admitted when \a pinnedBytes are in buffers that are never given up, admitted bodies
     * and connections among them; one body alone always may.
     */
    [[nodiscard]] auto admits(std::size_t bytes, std::size_t pinnedBytes) const -> bool;

    /** Returns the bytes of all admitted bodies. */
    [[nodiscard]] auto size() const -> std::size_t { return this->admitted; }

private:
    std::size_t budget;
    std::size_t admitted = 0;
};

} // namespace Primrosefork
