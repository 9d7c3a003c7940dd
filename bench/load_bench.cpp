#include "quincewing/net/endpoint.hpp"
#include "quincewing/net/event_loop.hpp"

#include <algorithm>
#include <boost/random/exponential_distribution.hpp>
#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <deque>
#include <event2/http.h>
#include <iostream>
#include <memory>
#include <tclap/CmdLine.h>
#include <vector>

/// Sends requests to one address: as fast as the connections allow, or open-loop at a rate.
namespace {

using namespace quincewing;

struct bench_options
{
    std::string target;
    std::string service;
    int connections{};
    double rate{};
    int seconds{};
    int keys{};
    std::uint64_t seed{};
};

class load_bench
{
public:
    load_bench(event_loop& loop, bench_options options)
        : loop_(loop), options_(std::move(options)), random_(options_.seed),
          arrival_(loop, [this] { arrive(); }), end_(loop, [this] { loop_.stop(); })
    {
        const auto to = parse_endpoint(options_.target);
        for (int i = 0; i < options_.connections; ++i) {
            auto* it = evhttp_connection_base_new(loop.base(), nullptr, to.ip.c_str(), to.port);
            evhttp_connection_set_timeout(it, 10);
            idle_.push_back(it);
        }
    }

    void run()
    {
        begun_ = monotonic_now();
        end_.once(seconds{options_.seconds});
        if (options_.rate > 0) {
            next_arrival_ = begun_;
            arrive();
        } else {
            while (!idle_.empty()) {
                send(monotonic_now());
            }
        }
        loop_.run();
    }

    void print() const
    {
        auto took = took_us_;
        std::sort(took.begin(), took.end());
        const auto at = [&](double q) {
            return took.empty() ? 0.0
                                : static_cast<double>(took[static_cast<std::size_t>(
                                      q * static_cast<double>(took.size() - 1))]) /
                                      1000;
        };
        std::cout << "requests/s " << took.size() / static_cast<std::size_t>(options_.seconds)
                  << " p50 " << at(0.5) << " ms p99 " << at(0.99) << " ms max " << at(1.0)
                  << " ms other answers " << other_ << " seed " << options_.seed << "\n";
    }

private:
    struct flight
    {
        load_bench* self;
        evhttp_connection* connection;
        instant due;
    };

    // Latency counts from when the request was due, so that a slow answer is not hidden.
    void arrive()
    {
        boost::random::exponential_distribution<double> gap{options_.rate};
        const auto now = monotonic_now();
        while (next_arrival_ <= now) {
            if (idle_.empty()) {
                due_.push_back(next_arrival_);
            } else {
                send(next_arrival_);
            }
            next_arrival_ += duration{static_cast<duration::rep>(gap(random_) * 1e6)};
        }
        arrival_.once(std::max<duration>(next_arrival_ - monotonic_now(), duration{50}));
    }

    void send(instant due)
    {
        auto* connection = idle_.back();
        idle_.pop_back();
        boost::random::uniform_int_distribution<int> key{0, options_.keys - 1};
        auto* request = evhttp_request_new(on_done, new flight{this, connection, due});
        evhttp_add_header(evhttp_request_get_output_headers(request), "Host", "bench");
        const auto path = "/" + options_.service + "/k" + std::to_string(key(random_)) + "/read";
        evhttp_make_request(connection, request, EVHTTP_REQ_GET, path.c_str());
    }

    static void on_done(evhttp_request* request, void* arg)
    {
        const std::unique_ptr<flight> it{static_cast<flight*>(arg)};
        auto& self = *it->self;
        if (request != nullptr && evhttp_request_get_response_code(request) == 200) {
            self.took_us_.push_back((monotonic_now() - it->due).count());
        } else {
            ++self.other_;
        }
        self.idle_.push_back(it->connection);
        if (self.options_.rate <= 0) {
            self.send(monotonic_now());
        } else if (!self.due_.empty()) {
            const auto due = self.due_.front();
            self.due_.pop_front();
            self.send(due);
        }
    }

    event_loop& loop_;
    bench_options options_;
    boost::random::mt19937_64 random_;
    timer arrival_;
    timer end_;
    std::vector<evhttp_connection*> idle_;
    std::deque<instant> due_;
    std::vector<long> took_us_;
    std::uint64_t other_{};
    instant begun_{};
    instant next_arrival_{};
};

} // namespace

int main(int argc, char** argv)
try {
    TCLAP::CmdLine line{"Sends reads to one address and prints rate and latency", ' ', "1"};
    TCLAP::ValueArg<std::string> target{"", "target", "ip:port", true, "", "IP:PORT", line};
    TCLAP::ValueArg<std::string> service{"", "service", "service", false, "boats", "NAME", line};
    TCLAP::ValueArg<int> connections{"", "connections", "connections", false, 64, "N", line};
    TCLAP::ValueArg<double> rate{"", "rate", "requests/s, 0 for all it takes", false, 0, "N", line};
    TCLAP::ValueArg<int> time{"", "seconds", "length", false, 5, "S", line};
    TCLAP::ValueArg<int> keys{"", "keys", "keys", false, 1000, "N", line};
    TCLAP::ValueArg<std::uint64_t> seed{"", "seed", "seed", false, 1, "N", line};
    line.parse(argc, argv);
    event_loop loop;
    load_bench bench{loop,
                     {.target = target.getValue(),
                      .service = service.getValue(),
                      .connections = connections.getValue(),
                      .rate = rate.getValue(),
                      .seconds = time.getValue(),
                      .keys = keys.getValue(),
                      .seed = seed.getValue()}};
    bench.run();
    bench.print();
    std::cout.flush();
    std::_Exit(0);
} catch (const TCLAP::ArgException& e) {
    std::cerr << e.error() << " (" << e.argId() << ")\n";
    return 2;
}
