#include "faulty_server.hpp"

namespace quincewing::testing {

namespace {

constexpr int refused_percent = 35;
constexpr int repeated_percent = 40;
constexpr int without_id_percent = 30;
constexpr int late_percent = 5;
constexpr int max_service_ms = 15;

std::string without_id(std::string bytes)
{
    const std::string name = "X-Request: ";
    if (const auto at = bytes.find(name); at != std::string::npos) {
        bytes.erase(at, bytes.find('\n', at) + 1 - at);
    }
    return bytes;
}

} // namespace

faulty_server::faulty_server(answer_run& run, std::uint64_t seed) : run_(run), random_(seed)
{
    run.on_request = [this](std::size_t n, const std::string& id) { on_request(n, id); };
}

int faulty_server::runs(const std::string& id) const
{
    const auto found = runs_.find(id);
    return found == runs_.end() ? 0 : found->second;
}

bool faulty_server::in(int percent)
{
    return std::uniform_int_distribution{1, 100}(random_) <= percent;
}

void faulty_server::on_request(std::size_t n, const std::string& id)
{
    if (in(repeated_percent)) {
        repeat_earlier(n);
    }
    if (in(refused_percent)) {
        ++refusals_;
        answer(n, refusal_of(id));
        return;
    }
    ++runs_[id];
    const auto time = millis{std::uniform_int_distribution{0, max_service_ms}(random_)};
    run_.after(time, [this, n, id] {
        answer(n, response_to(id, "for " + id));
        if (in(late_percent)) {
            run_.after(millis{1}, [this, n] { repeat_earlier(n); });
        }
    });
}

void faulty_server::repeat_earlier(std::size_t n)
{
    const auto& earlier = written_[n];
    if (earlier.empty()) {
        return;
    }
    ++repeated_;
    const auto& bytes =
        in(50)
            ? earlier.back()
            : earlier[std::uniform_int_distribution<std::size_t>{0, earlier.size() - 1}(random_)];
    run_.server.send(in(without_id_percent) ? without_id(bytes) : bytes, n);
}

void faulty_server::answer(std::size_t n, const std::string& bytes)
{
    written_[n].push_back(bytes);
    run_.server.send(bytes, n);
}

} // namespace quincewing::testing
