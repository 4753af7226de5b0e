#pragma once

#include "command.h"

#include <string>
#include <utility>

namespace Primrosefork {

/** Lists the records of one kind: "workspaces", "templates" or "services". */
class ListCommand : public Command {
public:
    explicit ListCommand(std::string kind)
        : kind(std::move(kind))
    {
    }

    [[nodiscard]] auto run(const CommandLine&) const -> ExitCode override;

private:
    std::string kind;
};

/** Shows one record. */
class ShowCommand : public Command {
public:
    explicit ShowCommand(std::string kind)
        : kind(std::move(kind))
    {
    }

    [[nodiscard]] auto run(const CommandLine&) const -> ExitCode override;

private:
    std::string kind;
};

/** Lists the stored versions of one record, newest first. */
class HistoryCommand : public Command {
public:
    explicit HistoryCommand(std::string kind)
        : kind(std::move(kind))
    {
    }

    [[nodiscard]] auto run(const CommandLine&) const -> ExitCode override;

private:
    std::string kind;
};

/** Restores the content of an earlier revision of a record as a new revision. */
class RollForwardCommand : public Command {
public:
    explicit RollForwardCommand(std::string kind)
        : kind(std::move(kind))
    {
    }

    [[nodiscard]] auto run(const CommandLine&) const -> ExitCode override;

private:
    std::string kind;
};

/** Creates or replaces a record from a file. */
class PutCommand : public Command {
public:
    explicit PutCommand(std::string kind)
        : kind(std::move(kind))
    {
    }

    [[nodiscard]] auto run(const CommandLine&) const -> ExitCode override;

private:
    std::string kind;
};

/** Deletes a record. */
class DeleteCommand : public Command {
public:
    explicit DeleteCommand(std::string kind)
        : kind(std::move(kind))
    {
    }

    [[nodiscard]] auto run(const CommandLine&) const -> ExitCode override;

private:
    std::string kind;
};

} // namespace Primrosefork
