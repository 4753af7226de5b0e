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

/** Shows the versions of one record, the newest first. */
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

/** Puts an earlier content in force as a new revision. */
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

/** Makes or replaces a record from a file. */
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

/** Takes a record out of force. */
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
