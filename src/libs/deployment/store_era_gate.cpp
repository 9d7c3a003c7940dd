#include "quincewing/deployment/store_era_gate.hpp"

#include <memory>
#include <utility>

namespace quincewing {

store_era_gate::store_era_gate(store_era_hooks hooks) : hooks_(std::move(hooks)) {}

void store_era_gate::on_told(store_era era)
{
    if (era <= era_) {
        return;
    }
    const auto before = std::exchange(era_, era);
    hooks_.on_change(before, era);
}

// An answer that tells no era, or none at all, is of the era in which its call was sent.
bool store_era_gate::pass(store_era sent_in, store_era told)
{
    on_told(told);
    const auto era = told == store_era{} ? sent_in : told;
    if (era == era_) {
        return true;
    }
    if (hooks_.on_stale) {
        hooks_.on_stale(era, era_);
    }
    return false;
}

store_api store_era_gate::wrap(store_api inner)
{
    auto calls = std::make_shared<store_api>(std::move(inner));
    // A call that was sent before any era was known can't have used an offset of an earlier one.
    const auto crossed = [this](store_era sent_in) {
        return sent_in != store_era{} && sent_in != era_;
    };
    return {.newest =
                [this, calls](store_stream stream, std::function<void(store_page)> done) {
                    calls->newest(stream,
                                  [this, sent_in = era_, done = std::move(done)](store_page page) {
                                      if (!pass(sent_in, page.era)) {
                                          page = {.era = page.era};
                                      }
                                      done(std::move(page));
                                  });
                },
            .read =
                [this, calls, crossed](store_stream stream, log_offset from, duration wait,
                                       std::function<void(store_page)> done) {
                    calls->read(
                        stream, from, wait,
                        [this, crossed, sent_in = era_, done = std::move(done)](store_page page) {
                            if (!pass(sent_in, page.era)) {
                                page = {.era = page.era};
                            } else if (crossed(sent_in)) {
                                page = {.status = store_status::dropped, .era = page.era};
                            }
                            done(std::move(page));
                        });
                },
            .append =
                [this, calls, crossed](store_stream stream, store_record record,
                                       std::optional<log_offset> at,
                                       std::function<void(store_append_result)> done) {
                    const bool conditional = at.has_value();
                    calls->append(stream, std::move(record), at,
                                  [this, crossed, conditional, sent_in = era_,
                                   done = std::move(done)](store_append_result result) {
                                      const bool stale = !pass(sent_in, result.era);
                                      if (stale || (conditional && crossed(sent_in))) {
                                          result = {.era = result.era};
                                      }
                                      done(result);
                                  });
                }};
}

} // namespace quincewing
