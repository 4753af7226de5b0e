#pragma once

#include <sigc++/signal.h>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

namespace Primrosefork {

template <typename Value>
class SectionWriter;

/**
 * One typed part of the blackboard: a single controller writes it, others read
 * it and are notified of changes by a signal.
 */
template <typename Value>
class Section {
public:
    explicit Section(std::string name)
        : name(std::move(name))
    {
    }

    Section(const Section&) = delete;
    auto operator=(const Section&) -> Section& = delete;

    [[nodiscard]] auto value() const -> const Value& { return this->current; }
    [[nodiscard]] auto writerName() const -> const std::string& { return this->writer; }
    [[nodiscard]] auto sectionName() const -> const std::string& { return this->name; }

    /**
     * Returns the only handle that can write the section and records \a controller
     * as its writer. Throws std::logic_error when the section already has a writer.
     */
    auto acquireWriter(const std::string& controller) -> SectionWriter<Value>
    {
        if (!this->writer.empty())
            throw std::logic_error("section " + this->name + " already has the writer " + this->writer);
        this->writer = controller;
        return SectionWriter<Value>(*this);
    }

    /** Emitted after the value was replaced. */
    sigc::signal<void, const Value&> changed;

private:
    friend class SectionWriter<Value>;

    std::string name;
    std::string writer;
    Value current {};
};

/**
 * Write access to one section, held by one controller.
 */
template <typename Value>
class SectionWriter {
public:
    [[nodiscard]] auto value() const -> const Value& { return this->section->current; }

    /** Replaces the value and notifies the readers. */
    auto write(Value value) -> void
    {
        this->section->current = std::move(value);
        this->section->changed.emit(this->section->current);
    }

    /** Changes the value in place with \a change, a function of a reference to it, and notifies the readers. */
    template <typename Change>
    auto update(const Change& change) -> void
    {
        change(this->section->current);
        this->section->changed.emit(this->section->current);
    }

private:
    friend class Section<Value>;

    explicit SectionWriter(Section<Value>& section)
        : section(&section)
    {
    }

    Section<Value>* section;
};

} // namespace Primrosefork
