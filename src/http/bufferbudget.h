#pragma once

#include <cstddef>
#include <functional>
#include <set>
#include <utility>

namespace Primrosefork {

/**
 * Limits the bytes that are buffered for many requests together.
 *
 * When the buffers exceed the limit, the largest of those that can be given up
 * is given up, so that a few large ones do not end many small ones.
 */
class BufferBudget {
public:
    /** The share of one buffer in the budget. */
    class Account {
    public:
        /** Called once, when the buffer has to be given up; the account may be destroyed within the call. */
        using GiveUpHandler = std::function<void()>;

        /** An account without a handler counts, but its buffer is never given up. */
        explicit Account(BufferBudget&, GiveUpHandler = {});
        ~Account();
        Account(const Account&) = delete;
        auto operator=(const Account&) -> Account& = delete;

        /** Sets the number of \a bytes in the buffer. May give up this buffer or others. */
        auto resize(std::size_t bytes) -> void;

    private:
        friend class BufferBudget;

        BufferBudget& budget;
        GiveUpHandler giveUp;
        std::size_t bytes = 0;
        const bool isPinned; ///< Whether the buffer is never given up.
        bool isGivenUp = false; ///< Whether the buffer was given up; it no longer counts, even if its owner clears it later.
    };

    explicit BufferBudget(std::size_t limit);
    BufferBudget(const BufferBudget&) = delete;
    auto operator=(const BufferBudget&) -> BufferBudget& = delete;

    /** Returns the number of bytes in all buffers. */
    [[nodiscard]] auto size() const -> std::size_t { return this->total; }

    [[nodiscard]] auto limit() const -> std::size_t { return this->maximum; }

    /** Returns the largest number of bytes in all buffers since the last call. */
    auto takePeak() -> std::size_t { return std::exchange(this->peak, this->total); }

    /** Returns the number of bytes in buffers that are never given up. */
    [[nodiscard]] auto pinnedSize() const -> std::size_t { return this->pinned; }

    /** Returns the number of buffers that were given up. */
    [[nodiscard]] auto givenUpCount() const -> std::size_t { return this->givenUp; }

private:
    auto enforce() -> void;

    std::size_t maximum;
    std::size_t total = 0;
    std::size_t peak = 0;
    std::size_t pinned = 0;
    std::size_t givenUp = 0;
    std::set<std::pair<std::size_t, Account*>> candidates; ///< Buffers that hold bytes and can be given up, the largest one last.
};

} // namespace Primrosefork
