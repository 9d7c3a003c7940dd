#pragma once

#include "quincewing/deployment/deployment_api.hpp"
#include "quincewing/entry/entry_settings.hpp"
#include "quincewing/net/event_loop.hpp"

#include <event2/http.h>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace quincewing::testing {

/// A port of loopback that nobody listens at.
int free_port();

/// A store in memory and one backend server on the loop of the test, for one entry host. Requests
/// carry their id in X-Request; the server answers each after its time of work.
class small_deployment
{
public:
    small_deployment(event_loop& loop, duration work);
    ~small_deployment();
    small_deployment(const small_deployment&) = delete;
    small_deployment& operator=(const small_deployment&) = delete;

    [[nodiscard]] deployment_api api();
    [[nodiscard]] const entry_settings& settings() const { return settings_; }

    /// Ids of the requests that the server began, each as often as it did.
    std::multiset<std::string> begun;
    /// Bodies as the server got them, by id.
    std::map<std::string, std::string> bodies;

private:
    struct stream
    {
        std::vector<store_record> records;
    };

    void answer_later(std::function<void()> answer);
    [[nodiscard]] store_page page_of(store_stream name, log_offset from);
    store_append_result append(store_stream name, store_record record,
                               std::optional<log_offset> at);
    void on_request(evhttp_request* request);

    event_loop& loop_;
    duration work_;
    entry_settings settings_;
    std::string server_address_;
    evhttp* server_{};
    std::map<store_stream, stream> streams_;
    std::vector<std::unique_ptr<timer>> answers_;
    std::vector<std::unique_ptr<timer>> runs_;
};

} // namespace quincewing::testing
