#pragma once

#include "quincewing/admission/memory_actions.hpp"
#include "quincewing/admission/memory_usage.hpp"
#include "quincewing/base/time.hpp"

#include <cstdint>
#include <map>
#include <vector>

namespace quincewing {

struct memory_budget_options
{
    /// Bytes that all connections together may hold.
    std::uint64_t bytes{64UL * 1024 * 1024};
    /// Memory is short from this share of the budget on.
    double short_share{0.75};
    /// Paused bodies are read on up to this share. The rest is for heads and for what is read
    /// before a connection is paused.
    double grant_share{0.9};
    /// A body must grow by progress_bytes in each progress_time in which it is read.
    std::uint64_t progress_bytes{4UL * 1024};
    duration progress_time{seconds{15}};
    /// The same while memory is short. Ordinary uploads need a fraction of this rate.
    duration short_progress_time{seconds{2}};
    /// Time without so much progress after which an unread answer is given up when memory is short.
    duration answer_progress_time{seconds{5}};
    /// Part of a body of unknown length that is read at a time while memory is short.
    std::uint64_t unknown_length_step{128UL * 1024};
};

/// One budget of bytes for what a process holds for its callers. Decides which connections are not
/// read for a time, which are refused and which are closed; the caller carries it out.
class memory_budget
{
public:
    explicit memory_budget(memory_budget_options options = {}) : options_(options) {}

    /// To be called whenever the connection has read, and in each period.
    void update(instant now, memory_holder id, const memory_usage& usage);
    void remove(memory_holder id);
    /// Whether more of the connection's body may be read. If not it counts as paused until
    /// decide() resumes it.
    bool may_read(memory_holder id);
    /// Whether a new body may be received at all.
    [[nodiscard]] bool has_room() const { return held_ < options_.bytes; }
    /// Bodies may have to be paused, or are.
    [[nodiscard]] bool memory_short() const;
    /// To be called in each period. Connections that it names to be ended count as removed.
    memory_actions decide(instant now);

    [[nodiscard]] std::uint64_t held() const { return held_; }
    [[nodiscard]] std::size_t paused() const { return paused_; }

private:
    struct holder
    {
        memory_usage usage;
        bool paused{};
        /// Bytes of the body that may be read although memory is short.
        std::uint64_t allowance{};
        /// Last time at which progress_bytes more had been received or sent.
        instant received_at{};
        instant sent_at{};
        std::uint64_t received_mark{};
        std::uint64_t sent_mark{};
    };
    using holder_ref = std::map<memory_holder, holder>::iterator;

    [[nodiscard]] std::uint64_t short_bytes() const;
    [[nodiscard]] std::uint64_t grant_bytes() const;
    [[nodiscard]] std::uint64_t wanted(const holder& it) const;
    void set_allowance(holder& it, std::uint64_t bytes);
    void resume(instant now, holder& it, std::uint64_t allowance);
    void end(holder_ref it, std::vector<memory_holder>& out);
    void end_slow(instant now, memory_actions& out);
    void end_stalled(instant now, memory_actions& out);
    void grant(instant now, memory_actions& out);
    /// Ends the paused one that lacks most if none can go on and none will give memory back.
    void end_deadlock(instant now, memory_actions& out);

    memory_budget_options options_;
    std::map<memory_holder, holder> holders_;
    std::uint64_t held_{};
    /// Sum of all allowances.
    std::uint64_t granted_{};
    std::size_t paused_{};
};

} // namespace quincewing
