#include "quincewing/deployment/store_call_counts.hpp"

namespace quincewing {

void store_call_counts::note(const char* call, store_stream stream)
{
    ++counts_[std::string{call} + "_" + to_string(stream)];
}

store_api store_call_counts::wrap(store_api inner)
{
    auto calls = std::make_shared<store_api>(std::move(inner));
    return {.newest =
                [this, calls](store_stream stream, std::function<void(store_page)> done) {
                    note("newest", stream);
                    calls->newest(stream, std::move(done));
                },
            .read =
                [this, calls](store_stream stream, log_offset from, duration wait,
                              std::function<void(store_page)> done) {
                    note("read", stream);
                    calls->read(stream, from, wait, std::move(done));
                },
            .append =
                [this, calls](store_stream stream, store_record record,
                              std::optional<log_offset> at,
                              std::function<void(store_append_result)> done) {
                    note("append", stream);
                    calls->append(stream, std::move(record), at, std::move(done));
                }};
}

std::map<std::string, std::uint64_t> store_call_counts::take_new()
{
    std::map<std::string, std::uint64_t> out;
    for (const auto& [name, n] : counts_) {
        const auto before = taken_.find(name);
        const auto added = n - (before == taken_.end() ? 0 : before->second);
        if (added > 0) {
            out[name] = added;
        }
    }
    taken_ = counts_;
    return out;
}

} // namespace quincewing
