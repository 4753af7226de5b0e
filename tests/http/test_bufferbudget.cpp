#include "bufferbudget.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <memory>
#include <string>
#include <vector>

using namespace Primrosefork;

namespace {

/** Buffers of one budget that note when they are given up. */
struct Buffers {
    explicit Buffers(std::size_t limit)
        : budget(limit)
    {
    }

    auto add(const std::string& name, bool canBeGivenUp) -> void
    {
        this->names.push_back(name);
        const auto index = this->accounts.size();
        const auto handler = [this, index] {
            this->givenUp.push_back(this->names[index]);
            this->accounts[index].reset();
        };
        this->accounts.push_back(std::make_unique<BufferBudget::Account>(this->budget, canBeGivenUp ? BufferBudget::Account::GiveUpHandler(handler) : BufferBudget::Account::GiveUpHandler()));
    }

    auto resize(const std::string& name, std::size_t bytes) -> void
    {
        for (std::size_t index = 0; index < this->names.size(); ++index) {
            if (this->names[index] == name && this->accounts[index])
                this->accounts[index]->resize(bytes);
        }
    }

    BufferBudget budget;
    std::vector<std::string> names;
    std::vector<std::unique_ptr<BufferBudget::Account>> accounts;
    std::vector<std::string> givenUp;
};

struct BudgetCase {
    const char* name;
    std::vector<std::pair<std::string, std::size_t>> sizes; ///< Buffers that are resized, one after the other; names in capitals can't be given up.
    std::vector<std::string> givenUp; ///< Expected, in their order.
    std::size_t size; ///< Expected in the end.
};

const BudgetCase budgetCases[] = {
    { "as much as the limit", { { "a", 60 }, { "b", 40 } }, {}, 100 },
    { "the largest one goes, not the one that grew", { { "a", 60 }, { "b", 30 }, { "b", 41 } }, { "a" }, 41 },
    { "the one that grew is the largest", { { "a", 60 }, { "b", 30 }, { "b", 70 } }, { "b" }, 60 },
    { "as many as needed", { { "a", 40 }, { "b", 30 }, { "c", 29 }, { "D", 80 } }, { "a", "b", "c" }, 80 },
    { "one that shrank is kept", { { "a", 90 }, { "a", 10 }, { "b", 50 }, { "c", 60 } }, { "c" }, 60 },
    { "what can't be given up stays", { { "A", 120 }, { "b", 1 } }, { "b" }, 120 },
    { "nothing can be given up", { { "A", 60 }, { "B", 60 } }, {}, 120 },
    { "one that was given up does not count", { { "a", 101 }, { "b", 100 } }, { "a" }, 100 },
};

TEST_CASE("when buffers exceed their budget, the largest ones that can be given up are")
{
    for (const auto& row : budgetCases) {
        CAPTURE(row.name);
        Buffers buffers(100);
        for (const auto& [name, bytes] : row.sizes) {
            if (std::find(buffers.names.begin(), buffers.names.end(), name) == buffers.names.end())
                buffers.add(name, name.front() >= 'a');
            buffers.resize(name, bytes);
        }
        CHECK(buffers.givenUp == row.givenUp);
        CHECK(buffers.budget.givenUpCount() == row.givenUp.size());
        CHECK(buffers.budget.size() == row.size);
        buffers.accounts.clear();
        CHECK(buffers.budget.size() == 0);
    }
}

} // namespace
