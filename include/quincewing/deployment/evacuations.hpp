#pragma once

#include "quincewing/base/ids.hpp"
#include "quincewing/base/time.hpp"
#include "quincewing/deployment/store_api.hpp"

#include <cstdint>
#include <map>
#include <set>
#include <vector>

namespace quincewing {

/// An operator's order about a data centre.
struct evacuation_order
{
    data_centre_id data_centre;
    /// False: it is taken back into service.
    bool evacuated{};
};

/// A data centre that is evacuated, as one host tells it to another.
struct told_evacuation
{
    data_centre_id data_centre;
    /// Microseconds since the operator may have ordered it.
    std::uint64_t age{};

    template <class F>
    void each_field(F&& f)
    {
        f(data_centre);
        f(age);
    }
};

/// All evacuations that a host knows.
struct evacuation_state
{
    /// Offset of the operators' stream up to which they are known.
    std::uint64_t read{};
    std::vector<told_evacuation> evacuated;

    template <class F>
    void each_field(F&& f)
    {
        f(read);
        f(evacuated);
    }
};

enum class evacuation_stage
{
    /// Keys are handed over; only requests for keys that are still there go there.
    evacuated,
    /// No request goes there.
    closed,
    taken_back
};

const char* to_string(evacuation_stage it);

struct evacuation_change
{
    data_centre_id data_centre;
    evacuation_stage stage{};
};

/// The data centres that operators have evacuated. From the moment that a host learns of one,
/// requests without a key go elsewhere; owners of keys there go on while their keys are handed
/// over, for the handover time at most, and then get nothing either. Does no I/O and reads no
/// clock.
class evacuations
{
public:
    explicit evacuations(duration handover_time) : handover_time_(handover_time) {}

    /// The newest orders of the whole stream, read up to end. ordered_after: before this there were
    /// none that this host does not know.
    void on_full_read(instant ordered_after, const std::vector<evacuation_order>& orders,
                      log_offset end);
    /// An order that was read on its own.
    void on_order(instant ordered_after, const evacuation_order& order, log_offset at);
    /// A read that followed what is known showed no orders but those that were told one by one.
    void on_read_up_to(log_offset end);
    /// What another host tells. Older than what is known, it says nothing.
    void on_told(instant now, const evacuation_state& told);
    /// Offsets of the store's earlier era are worth nothing. What is known holds until the next
    /// read.
    void on_store_era() { read_ = {}; }

    /// Offset up to which the orders are known; 0: they are not, in the store's era.
    [[nodiscard]] log_offset read_offset() const { return read_; }
    [[nodiscard]] evacuation_state state(instant now) const;
    /// No request without a key goes there.
    [[nodiscard]] bool evacuated(const data_centre_id& it) const { return since_.contains(it); }
    /// No request at all goes there.
    [[nodiscard]] bool closed(const data_centre_id& it) const { return closed_.contains(it); }
    [[nodiscard]] std::size_t size() const { return since_.size(); }
    /// What changed since the last call.
    std::vector<evacuation_change> take_changes(instant now);

private:
    void set(instant since, const data_centre_id& it);
    void take_back(const data_centre_id& it);

    duration handover_time_;
    log_offset read_;
    /// Since when at most they may have been evacuated.
    std::map<data_centre_id, instant> since_;
    std::set<data_centre_id> closed_;
    std::vector<evacuation_change> changes_;
};

} // namespace quincewing
