#pragma once

#include "answer_run.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace quincewing::testing {

/// Answers the requests of an answer_run, refuses some, and writes earlier answers of a connection
/// once more where the answer to a later request is due, with or without their id.
class faulty_server
{
public:
    faulty_server(answer_run& run, std::uint64_t seed);

    /// Runs of the request of this id.
    [[nodiscard]] int runs(const std::string& id) const;
    [[nodiscard]] int refusals() const { return refusals_; }
    /// Answers that were written once more.
    [[nodiscard]] int repeated() const { return repeated_; }

private:
    void on_request(std::size_t n, const std::string& id);
    void repeat_earlier(std::size_t n);
    void answer(std::size_t n, const std::string& bytes);
    /// True for so many of 100.
    [[nodiscard]] bool in(int percent);

    answer_run& run_;
    std::mt19937_64 random_;
    std::map<std::string, int> runs_;
    /// Answers by connection.
    std::map<std::size_t, std::vector<std::string>> written_;
    int refusals_{};
    int repeated_{};
};

} // namespace quincewing::testing
