#include "fleet.hpp"

#include <csignal>
#include <fcntl.h>
#include <fstream>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>
#include <utility>

namespace review {

namespace {

constexpr long long poll_ms = 50;
constexpr int http_ok = 200;

pid_t start(const std::vector<std::string>& arguments, const std::string& log)
{
    std::vector<char*> argv;
    for (const auto& it : arguments) {
        argv.push_back(const_cast<char*>(it.c_str()));
    }
    argv.push_back(nullptr);
    const auto id = fork();
    if (id == 0) {
        // It ends with the driver, however that ends.
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        const auto fd = open(log.c_str(), O_CREAT | O_WRONLY | O_APPEND, 0644);
        dup2(fd, STDOUT_FILENO);
        dup2(fd, STDERR_FILENO);
        execv(argv[0], argv.data());
        _exit(127);
    }
    return id;
}

// As platform/settings.ini is filled in for a host of 0.2 cores.
std::string settings_of(const std::string& name, const host_addresses& at, const std::string& store)
{
    return "[entry]\nname = " + name + "\ndata_centre = hall\ncallers = " + at.callers +
           "\nreadiness = " + at.readiness + "\npeers = " + at.peers + "\nmetrics = " + at.metrics +
           "\nstore = " + store +
           "\ncores = 0.2\n\n[bounds]\ndrain = 2000ms\nconfiguration = 2000ms\ngrace = 6s\n"
           "repeat_window = 10s\nlongest_hold = 10000ms\nrepeat_share = 0.2\nrepeat_extra = 56\n";
}

} // namespace

child::child(const std::vector<std::string>& arguments, const std::string& log)
    : id_(start(arguments, log))
{
}

child::child(child&& from) noexcept : id_(std::exchange(from.id_, 0)), status_(from.status_) {}

child::~child()
{
    kill_and_wait();
}

void child::signal(int number) const
{
    if (id_ > 0 && !status_) {
        kill(id_, number);
    }
}

void child::kill_and_wait()
{
    if (id_ > 0 && !ended()) {
        signal(SIGKILL);
        int status = 0;
        waitpid(id_, &status, 0);
        status_ = status;
    }
}

std::optional<int> child::ended()
{
    int status = 0;
    if (!status_ && waitpid(id_, &status, WNOHANG) == id_) {
        status_ = status;
    }
    return status_;
}

fleet::fleet(fleet_options options)
    : options_(std::move(options)), store_(*new store), store_address_(free_address())
{
    store_.serve(store_address_);
    store_.put("keyed.op", "config", options_.configuration);
}

void fleet::add_host()
{
    addresses_.push_back({.callers = free_address(),
                          .readiness = free_address(),
                          .peers = free_address(),
                          .metrics = free_address()});
    const auto name = "host-" + std::to_string(addresses_.size());
    const auto settings = options_.folder + "/" + name + ".ini";
    std::ofstream{settings} << settings_of(name, addresses_.back(), store_address_);
    hosts_.emplace_back(std::vector<std::string>{options_.program, "serve", "-s", settings},
                        options_.folder + "/" + name + ".log");
}

void fleet::add_endpoint(const std::string& id, const std::string& service,
                         const std::string& address, const std::vector<std::string>& flags)
{
    std::vector<std::string> arguments{
        options_.endpoint_program, address, id, service, store_address_, journal()};
    arguments.insert(arguments.end(), flags.begin(), flags.end());
    endpoints_.emplace(id, child{arguments, options_.folder + "/" + id + ".log"});
}

child& fleet::endpoint(const std::string& id)
{
    return endpoints_.at(id);
}

bool fleet::wait_ready(long long timeout_ms) const
{
    const auto until = now_ms() + timeout_ms;
    for (const auto& it : addresses_) {
        while (true) {
            const auto answer = call(it.readiness, "GET", "/v1/readiness", "");
            if (answer && answer->status() == http_ok) {
                break;
            }
            if (now_ms() >= until) {
                return false;
            }
            sleep_ms(poll_ms);
        }
    }
    return true;
}

bool fleet::coordinates(std::size_t host) const
{
    const auto answer = call(at(host).metrics, "GET", "/metrics", "");
    return answer && answer->body.find("quincewing_coordinating 1") != std::string::npos;
}

void fleet::wait_heartbeat(const std::string& id)
{
    const auto before = store_.last_heartbeat(id);
    while (store_.last_heartbeat(id) == before) {
        sleep_ms(1);
    }
}

std::string format_configuration(const std::vector<std::string>& services,
                                 const std::string& route_type, bool sharded)
{
    std::string routes;
    std::string listed;
    for (const auto& it : services) {
        const auto* comma = listed.empty() ? "" : ",";
        routes += comma + std::string{R"({"name":")"} + it +
                  R"(","host":"gauges.example","pathPrefix":"/)" + it + R"(/","routeType":")" +
                  route_type + R"(","service":")" + it +
                  R"(","maxAttempts":2,"priority":1,"targetLatencyMs":800,"timeoutMs":3000})";
        listed += comma + std::string{R"({"name":")"} + it +
                  R"(","maxConnections":110,"sharded":)" + (sharded ? "true" : "false") +
                  R"(,"healthCheck":"/health"})";
    }
    return R"({"version":"r1","routes":[)" + routes + R"(],"services":[)" + listed +
           R"(],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":1048576,"headerTimeoutMs":5000,)"
           R"("idleTimeoutMs":15000}})";
}

} // namespace review
