#pragma once

#include "quincewing/entry/host_context.hpp"
#include "quincewing/routing/configuration_changes.hpp"

#include <functional>

namespace quincewing {

struct configuration_follower_hooks
{
    /// Another version is applied.
    std::function<void()> on_configuration;
    /// The store does not tell this host the version in force; another host may know it.
    std::function<void()> on_unknown;
};

/// Keeps this host's configuration up to date. The coordinating host tells the version in force,
/// and small changes; this host reads the store for the rest, and whenever nobody has confirmed its
/// version for some time.
class configuration_follower
{
public:
    configuration_follower(host_context context, configuration_follower_hooks hooks);

    /// Whether this host watches the store: it coordinates, or hears from no coordinating host.
    void set_watching(bool on);
    /// Somebody's read of the store, sent at as_of, showed this version as the newest, stored at
    /// this offset.
    void on_told(config_version version, log_offset offset, instant as_of);
    /// Somebody's read of the store, sent at as_of, is behind the orders to evacuate that this host
    /// has been told.
    void on_orders_told(instant as_of);
    /// Whether the orders to evacuate were ever read or told.
    [[nodiscard]] bool orders_known() const;
    /// Changes against a version that this host does not have are ignored.
    void on_changes(const configuration_changes& changes, log_offset offset);
    /// The store came back from an older copy. Offsets of the earlier era are worth nothing; the
    /// applied version stays, and is not confirmed by reads that do not show it.
    void on_store_era(instant now);
    void tick(instant now);

    /// From the version that was applied before to the applied one.
    [[nodiscard]] configuration_changes latest_changes() const;
    /// Where the applied version is stored; 0 while that is not known in the store's era.
    [[nodiscard]] log_offset offset() const { return offset_; }

private:
    [[nodiscard]] bool read_due(instant now) const;
    [[nodiscard]] bool unconfirmed(instant now) const;
    [[nodiscard]] bool follows_orders() const;
    /// Whether orders may be stored before the offset from which the next read goes on.
    [[nodiscard]] bool orders_skipped() const;
    /// Asks another host while a read that is needed takes long.
    void ask_if_slow(instant now);
    void read();
    void on_page(instant sent, duration wait, const store_page& page, bool snapshot);
    void apply_newest(const store_page& page);
    void apply_evacuations(const store_page& page, bool snapshot);
    void apply(configuration next, log_offset offset);
    void note_stored_at(log_offset offset);

    host_context context_;
    configuration_follower_hooks hooks_;
    configuration previous_;
    log_offset offset_;
    log_offset next_offset_;
    /// The next read fetches the newest record, not what follows an offset.
    bool snapshot_needed_{true};
    bool watching_{true};
    /// The latest moment at which the orders to evacuate that are known were all.
    instant orders_in_force_at_{};
    /// The store has come back older.
    bool copied_{};
    /// The store is known to hold the applied version, or a later one, in its present era.
    bool in_store_{true};
    bool read_pending_{};
    instant next_read_{};
    /// When the read under way was sent, or another host was asked meanwhile.
    instant waiting_since_{};
    duration retry_pause_{};
};

} // namespace quincewing
