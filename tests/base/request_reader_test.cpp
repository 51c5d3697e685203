#include "base/request_reader.h"

#include <array>
#include <cppunit/extensions/HelperMacros.h>
#include <limits>
#include <sys/socket.h>

namespace poplarspool {

class request_reader_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(request_reader_test);
    CPPUNIT_TEST(aChunkLongerThanAllMemoryIsRefused);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Where the operators set no bound, the sum of its size and its line's end began anew at 0.
    void aChunkLongerThanAllMemoryIsRefused()
    {
        std::array<int, 2> ends{};
        CPPUNIT_ASSERT(socketpair(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0, ends.data()) == 0);
        const descriptor caller(ends[0]);
        const descriptor connection(ends[1]);
        const std::string_view request = "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
                                         "ffffffffffffffff\r\nabc";
        CPPUNIT_ASSERT(send(caller.get(), request.data(), request.size(), 0) > 0);
        shutdown(caller.get(), SHUT_WR);
        http_limits limits = defaultHttpLimits();
        limits.bodyBytes = std::numeric_limits<std::size_t>::max();
        request_reader reader(connection.get(), limits, -1);
        const reading outcome = reader.next(milliseconds(1000));
        CPPUNIT_ASSERT(std::holds_alternative<bad_request>(outcome));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(request_reader_test);

} // namespace poplarspool
