#include "quincewing/deployment/store_era_gate.hpp"

#include <memory>
#include <utility>

namespace quincewing {

store_era_gate::store_era_gate(store_era_hooks hooks) : hooks_(std::move(hooks)) {}

void store_era_gate::note(store_era told)
{
    if (told <= era_) {
        return;
    }
    const auto before = std::exchange(era_, told);
    hooks_.on_change(before, told);
}

store_api store_era_gate::wrap(store_api inner)
{
    auto calls = std::make_shared<store_api>(std::move(inner));
    return {
        .newest =
            [this, calls](store_stream stream, std::function<void(store_page)> done) {
                calls->newest(stream, [this, done = std::move(done)](store_page page) {
                    note(page.era);
                    done(std::move(page));
                });
            },
        .read =
            [this, calls](store_stream stream, log_offset from, duration wait,
                          std::function<void(store_page)> done) {
                calls->read(stream, from, wait, [this, done = std::move(done)](store_page page) {
                    note(page.era);
                    done(std::move(page));
                });
            },
        .append =
            [this, calls](store_stream stream, store_record record, std::optional<log_offset> at,
                          std::function<void(store_append_result)> done) {
                calls->append(stream, std::move(record), at,
                              [this, done = std::move(done)](store_append_result result) {
                                  note(result.era);
                                  done(result);
                              });
            }};
}

} // namespace quincewing
