#include "platform_standin.hpp"
#include "relay_standin.hpp"
#include "server_standin.hpp"

#include <csignal>
#include <iostream>
#include <tclap/CmdLine.h>

namespace standin = quincewing::standin;

int main(int argc, char** argv)
try {
    TCLAP::CmdLine line{"Stand-ins for what quincewing talks to: platform, server, relay", ' ',
                        "1"};
    std::vector<std::string> kinds{"platform", "server", "relay"};
    TCLAP::ValuesConstraint<std::string> allowed{kinds};
    TCLAP::UnlabeledValueArg<std::string> kind{"kind", "What to stand in for", true, "", &allowed,
                                               line};
    using text = TCLAP::ValueArg<std::string>;
    using real = TCLAP::ValueArg<double>;
    text address{"", "address", "ip:port to listen on", true, "", "IP:PORT", line};
    text target{"", "target", "relay: ip:port to connect to", false, "", "IP:PORT", line};
    text control{"", "control", "relay: ip:port for orders", false, "", "IP:PORT", line};
    text hosts{"", "hosts", "platform: entry hosts", false, "", "IP:PORT,...", line};
    text id{"", "id", "server: its name", false, "server", "NAME", line};
    real rate{"", "rate", "platform: appends a second", false, 300, "N", line};
    real retention{"",  "retention-ms", "platform: time records are kept", false, 86.4e6, "MS",
                   line};
    real lag{"", "hosts-lag-ms", "platform: lag of the host list", false, 2000, "MS", line};
    real slots{"", "slots", "server: requests at once", false, 2, "N", line};
    real work{"", "work-us", "server: time of one request", false, 1000, "US", line};
    real cold_factor{"", "cold-factor", "server: slower when cold", false, 1, "N", line};
    real cold_ms{"", "cold-ms", "server: time until warm", false, 0, "MS", line};
    text journal_file{"", "journal-file", "server: file for the journal", false, "", "FILE", line};
    TCLAP::SwitchArg fences{"", "checks-fences", "server: refuse old fences", line};
    TCLAP::SwitchArg no_journal{"", "no-journal", "server: keep no journal", line};
    line.parse(argc, argv);
    std::signal(SIGPIPE, SIG_IGN);
    quincewing::event_loop loop;
    if (kind.getValue() == "platform") {
        return standin::run_platform(loop, {.address = address.getValue(),
                                            .appends_per_second = rate.getValue(),
                                            .retention_ms = retention.getValue(),
                                            .hosts_lag_ms = lag.getValue(),
                                            .hosts = hosts.getValue()});
    }
    if (kind.getValue() == "relay") {
        return standin::run_relay(loop, {.address = address.getValue(),
                                         .target = target.getValue(),
                                         .control = control.getValue()});
    }
    return standin::run_server(loop, {.address = address.getValue(),
                                      .id = id.getValue(),
                                      .slots = static_cast<int>(slots.getValue()),
                                      .work_us = work.getValue(),
                                      .checks_fences = fences.getValue(),
                                      .cold_factor = cold_factor.getValue(),
                                      .cold_ms = cold_ms.getValue(),
                                      .journal = !no_journal.getValue(),
                                      .journal_file = journal_file.getValue()});
} catch (const TCLAP::ArgException& e) {
    std::cerr << e.error() << " (" << e.argId() << ")\n";
    return 2;
}
