#include "deposit_load.hpp"

#include <algorithm>
#include <chrono>
#include <nlohmann/json.hpp>

namespace quincewing::testing {

namespace {

using nlohmann::json;

constexpr int most_tries = 400;
constexpr millis pause_before_retry{30};
constexpr millis pause_between{5};
constexpr seconds answer_timeout{6};

std::uint64_t next(std::uint64_t& state)
{
    state = state * 6364136223846793005ULL + 1442695040888963407ULL;
    return state >> 33U;
}

long now_ms()
{
    return std::chrono::duration_cast<millis>(std::chrono::steady_clock::now().time_since_epoch())
        .count();
}

std::string header(const http_answer& answer, const std::string& name)
{
    const auto found = answer.headers.find(name);
    return found == answer.headers.end() ? "" : found->second;
}

} // namespace

deposit_load::deposit_load(const process_fleet& fleet, int callers, std::uint64_t seed,
                           std::vector<int> hosts)
    : fleet_(fleet), hosts_(std::move(hosts))
{
    for (int i = 0; hosts_.empty() && i < fleet.hosts(); ++i) {
        hosts_.push_back(i);
    }
    for (int i = 0; i < callers; ++i) {
        threads_.emplace_back([this, i, seed] { run_caller(i, seed * 1000 + i); });
    }
}

deposit_load::~deposit_load()
{
    stop();
}

void deposit_load::stop()
{
    stopping_ = true;
    for (auto& it : threads_) {
        it.join();
    }
    threads_.clear();
}

void deposit_load::run_caller(int number, std::uint64_t seed)
{
    std::uint64_t random = seed;
    for (int n = 0; !stopping_; ++n) {
        const auto key =
            "d" + std::to_string(seed) + "-" + std::to_string(number) + "-" + std::to_string(n);
        const auto boat = "boat" + std::to_string(next(random) % 200);
        make_deposit(key, boat, random);
        std::this_thread::sleep_for(pause_between);
    }
}

void deposit_load::make_deposit(const std::string& key, const std::string& boat,
                                std::uint64_t& random)
{
    deposit it;
    const auto begun = now_ms();
    const auto path = "/boats/" + boat + "/deposit";
    std::string own_answer{" "};
    own_answer.append(path).append(" ").append(key).append("\n");
    for (int n = 0; n < most_tries && it.ran == 0; ++n) {
        auto host = hosts_[next(random) % hosts_.size()];
        while (host == out_ && hosts_.size() > 1) {
            host = hosts_[next(random) % hosts_.size()];
        }
        const auto answer = http_call_and_wait({.method = "POST",
                                                .address = fleet_.callers(host),
                                                .path = path,
                                                .headers = {{"Idempotency-Key", key}},
                                                .body = "10 EUR",
                                                .timeout = answer_timeout});
        const auto verdict = header(answer, "Quincewing-Verdict");
        if (answer.status == 0) {
            ++it.no_answer;
            cut_off_ += answer.refused ? 0 : 1;
        } else if (verdict == "ran") {
            ++it.ran;
            it.wrong_answer = answer.body.find(own_answer) == std::string::npos;
        } else if (verdict == "not_run") {
            ++it.not_run;
        } else {
            ++it.unknown;
        }
        // A run whose answer was lost is never found out: the caller gives up and asks a person.
        if (it.unknown > 60) {
            break;
        }
        if (it.ran == 0) {
            std::this_thread::sleep_for(pause_before_retry);
        }
    }
    it.took_ms = now_ms() - begun;
    done_ += it.ran > 0 ? 1 : 0;
    const std::lock_guard lock{mutex_};
    deposits_[key] = it;
}

long deposit_load::longest_gap_ms() const
{
    const std::lock_guard lock{mutex_};
    long longest = 0;
    for (const auto& [key, it] : deposits_) {
        longest = std::max(longest, it.took_ms);
    }
    return longest;
}

std::string deposit_load::check(const std::vector<std::string>& journal) const
{
    std::map<std::string, int> runs;
    std::map<std::string, std::vector<std::pair<long long, long long>>> grants;
    for (const auto& line : journal) {
        // A server that was killed may have left half a line.
        const auto it = json::parse(line, nullptr, false);
        if (it.is_discarded()) {
            continue;
        }
        if (it["kind"] == "run" && !it["idempotency_key"].get<std::string>().empty()) {
            ++runs[it["idempotency_key"]];
        }
    }
    const std::lock_guard lock{mutex_};
    for (const auto& [key, it] : deposits_) {
        const int n = runs[key];
        if (n > 1) {
            return key + " ran " + std::to_string(n) + " times";
        }
        if (it.wrong_answer) {
            return key + " got another request's answer";
        }
        if (it.ran > 0 && n != 1) {
            return key + " was told ran and did not run";
        }
        if (it.ran == 0 && it.unknown == 0 && it.no_answer == 0 && n > 0) {
            return key + " was told not_run and ran";
        }
    }
    return {};
}

std::string deposit_load::summary() const
{
    const std::lock_guard lock{mutex_};
    int ran = 0;
    int never = 0;
    int repeats = 0;
    int unknown = 0;
    for (const auto& [key, it] : deposits_) {
        ran += it.ran;
        never += it.ran == 0 ? 1 : 0;
        repeats += it.not_run + it.unknown + it.no_answer;
        unknown += it.unknown;
    }
    return std::to_string(deposits_.size()) + " deposits, " + std::to_string(ran) + " ran, " +
           std::to_string(never) + " unresolved, " + std::to_string(repeats) + " repeats (" +
           std::to_string(unknown) + " unknown)";
}

} // namespace quincewing::testing
