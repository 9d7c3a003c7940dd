#include "quincewing/wire/envelope_reader.hpp"

#include "test_options.hpp"

#include "quincewing/codec/codec.hpp"

#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <doctest/doctest.h>

using namespace quincewing;

namespace {

struct reader_fixture
{
    std::vector<envelope> read;
    std::size_t unknown{};
    std::size_t unreadable{};
    envelope_reader reader{{.on_envelope = [this](const envelope& it) { read.push_back(it); },
                            .on_unknown = [this] { ++unknown; },
                            .on_unreadable = [this](const std::string&) { ++unreadable; }}};

    bool feed(const std::string& bytes)
    {
        return reader.feed(reinterpret_cast<const std::uint8_t*>(bytes.data()), bytes.size());
    }
};

std::string beat_of_term(std::uint64_t term)
{
    return encode_envelope({.from = host_id{"10.0.0.1:7200/1"},
                            .to = host_id{"10.0.0.2:7200/2"},
                            .body = coordinator_beat{.term = term}});
}

/// An envelope with an alternative of this number, which holds an array of one string.
std::string with_alternative(std::uint64_t number)
{
    msgpack::sbuffer buf;
    codec::packer out{buf};
    out.pack_array(4);
    out.pack(1);
    out.pack(std::string{"10.0.0.1:7200/1"});
    out.pack(std::string{"10.0.0.2:7200/2"});
    out.pack_array(2);
    out.pack(number);
    out.pack_array(1);
    out.pack(std::string{"later"});
    return {buf.data(), buf.size()};
}

std::uint64_t term_of(const envelope& it)
{
    return std::get<coordinator_beat>(it.body).term;
}

} // namespace

TEST_CASE("envelopes: a later build's message is passed over, those around it are read")
{
    reader_fixture it;
    CHECK(it.feed(beat_of_term(1) + with_alternative(999) + beat_of_term(2)));
    REQUIRE(it.read.size() == 2);
    CHECK(term_of(it.read[1]) == 2);
    CHECK(it.unknown == 1);
    CHECK(it.unreadable == 0);
}

TEST_CASE("envelopes: a message with members of other types does not hold up those behind it")
{
    reader_fixture it;
    // The alternative of a beat, whose first member is a number.
    const message beat = coordinator_beat{};
    CHECK(it.feed(with_alternative(beat.index()) + beat_of_term(2)));
    REQUIRE(it.read.size() == 1);
    CHECK(term_of(it.read[0]) == 2);
    CHECK(it.unreadable == 1);
}

TEST_CASE("envelopes: bytes that are no MessagePack end the connection")
{
    reader_fixture it;
    // 0xc1 is never used.
    CHECK_FALSE(it.feed(beat_of_term(1) + "\xc1" + beat_of_term(2)));
    CHECK(it.read.size() == 1);
}

TEST_CASE("envelopes: a header that names more elements than a host can hold ends the connection")
{
    reader_fixture it;
    CHECK_FALSE(it.feed(std::string{"\xdd\x7f\xff\xff\xff", 5}));
}

TEST_CASE("envelopes: cut, changed and random bytes have no effect but an error")
{
    boost::random::mt19937 random{static_cast<std::uint32_t>(testing::options().seed)};
    const auto pick = [&](std::size_t most) {
        return boost::random::uniform_int_distribution<std::size_t>{0, most}(random);
    };
    for (std::uint64_t n = 0; n < testing::schedules_or(2000); ++n) {
        reader_fixture it;
        auto bytes = beat_of_term(n) + with_alternative(pick(60));
        for (auto changes = pick(4); changes > 0; --changes) {
            bytes[pick(bytes.size() - 1)] = static_cast<char>(pick(255));
        }
        bytes.resize(pick(bytes.size()));
        // In pieces, as from a socket.
        const auto middle = pick(bytes.size());
        if (it.feed(bytes.substr(0, middle))) {
            (void)it.feed(bytes.substr(middle));
        }
        CHECK(it.read.size() <= 2);
        (void)decode_envelope(bytes);
    }
}
