#include "quincewing/deployment/owner_wait.hpp"

#include <doctest/doctest.h>

using namespace quincewing;

TEST_CASE("owner wait: there is no wait for a key whose server is gone")
{
    CHECK(remaining_owner_wait({}, duration{0}, seconds{1}) == duration{0});
}

TEST_CASE("owner wait: the wait for a moving key is limited in all and by the deadline")
{
    const key_owner moving{.server = server_id{"s1"}, .held = false};
    CHECK(remaining_owner_wait(moving, duration{0}, seconds{2}) == millis{400});
    CHECK(remaining_owner_wait(moving, millis{300}, seconds{2}) == millis{100});
    CHECK(remaining_owner_wait(moving, millis{500}, seconds{2}) == duration{0});
    CHECK(remaining_owner_wait(moving, duration{0}, millis{500}) == millis{150});
}
