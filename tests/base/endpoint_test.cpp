#include "poplarspool/base/endpoint.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace poplarspool;

class endpoint_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(endpoint_test);
    CPPUNIT_TEST(parsesItsTextForm);
    CPPUNIT_TEST(rejectsInvalidText);
    CPPUNIT_TEST_SUITE_END();

public:
    void parsesItsTextForm()
    {
        const endpoint v4{"127.0.0.1", 8080};
        const endpoint v6{"::1", 65535};
        CPPUNIT_ASSERT_EQUAL(std::string("[::1]:65535"), textOf(v6));
        CPPUNIT_ASSERT(valueOf(parseEndpoint(textOf(v4))) == v4);
        CPPUNIT_ASSERT(valueOf(parseEndpoint(textOf(v6))) == v6);
        CPPUNIT_ASSERT(valueOf(parseEndpoint("0.0.0.0:0")).port == 0);
    }

    void rejectsInvalidText()
    {
        for (const char *text :
             {"", ":", "127.0.0.1", "127.0.0.1:", ":80", "localhost:80", "::1:80", "[::1]",
              "[127.0.0.1]:80", "127.0.0.1:65536", "127.0.0.1:-1", "127.0.0.1:8x", "1.2.3:80",
              "127.0.0.1 :80", "[]:80"}) {
            const auto outcome = parseEndpoint(text);
            CPPUNIT_ASSERT_MESSAGE(text, !succeeded(outcome));
            CPPUNIT_ASSERT(errorOf(outcome).ran == verdict::NotRun);
        }
        using namespace std::string_literals;
        CPPUNIT_ASSERT(!succeeded(parseEndpoint("127.0.0.1\0x:80"s)));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(endpoint_test);
