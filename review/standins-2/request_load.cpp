#include "request_load.hpp"

#include "http_server.hpp"

#include "quincewing/http/http_call.hpp"

#include <algorithm>
#include <memory>

namespace quincewing::review {

namespace {

/// Callers wait this much longer than they say.
constexpr seconds patience{1};

class load
{
public:
    explicit load(const request_load_options& options)
        : options_(options), next_timer_(loop_, [this] { send_next(); })
    {
        for (const auto& [after, step] : options_.steps) {
            steps_.push_back(std::make_unique<timer>(loop_, step));
            steps_.back()->once(after);
        }
    }

    std::vector<load_answer> run()
    {
        next_at_ = monotonic_now();
        until_ = next_at_ + options_.length;
        next_timer_.soon();
        loop_.run();
        return std::move(answers_);
    }

private:
    void send_next()
    {
        if (next_at_ >= until_) {
            stop_if_answered();
            return;
        }
        const auto period = std::chrono::duration<double>(1.0 / options_.per_second);
        next_at_ += std::chrono::duration_cast<duration>(period);
        next_timer_.once(std::max<duration>(next_at_ - monotonic_now(), duration{0}));
        send();
    }

    void send()
    {
        const auto n = sent_++;
        load_answer out{.request = options_.name + "-" + std::to_string(n),
                        .host = n % options_.hosts.size(),
                        .sent_ns = standin::now_ns()};
        const auto deadline_ms = std::to_string(options_.deadline / millis{1});
        const auto number = options_.same_path ? "" : "&number=" + std::to_string(n);
        http_call(loop_,
                  {.method = options_.method,
                   .address = options_.hosts[out.host],
                   .path = options_.path + number,
                   .headers = {{"Host", "gauges.example"},
                               {"Request-Id", out.request},
                               {"Request-Deadline-Ms", deadline_ms}},
                   .body = options_.body,
                   .timeout = options_.deadline + patience},
                  [this, out](const http_answer& it) mutable {
                      out.status = it.status;
                      out.answered_ns = standin::now_ns();
                      answers_.push_back(out);
                      stop_if_answered();
                  });
    }

    void stop_if_answered()
    {
        if (next_at_ >= until_ && answers_.size() == sent_) {
            loop_.stop();
        }
    }

    const request_load_options& options_;
    event_loop loop_;
    timer next_timer_;
    std::vector<std::unique_ptr<timer>> steps_;
    instant next_at_{};
    instant until_{};
    std::size_t sent_{};
    std::vector<load_answer> answers_;
};

} // namespace

std::vector<load_answer> run_load(const request_load_options& options)
{
    return load{options}.run();
}

void write_answers(std::ostream& to, const std::vector<load_answer>& answers)
{
    for (const auto& it : answers) {
        to << "request " << it.request << " host " << it.host << " sent_ns " << it.sent_ns
           << " answered_ns " << it.answered_ns << " status " << it.status << "\n";
    }
}

} // namespace quincewing::review
