#include "poplarspool/streams/stream_origin.h"

#include "streams/origin_message.h"

#include <cppunit/extensions/HelperMacros.h>

namespace poplarspool::streams {

class stream_origin_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(stream_origin_test);
    CPPUNIT_TEST(idOfAnotherWorkspaceIsAnotherStream);
    CPPUNIT_TEST(messagesAreDecodedAsEncoded);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against callers who learn of another workspace's stream by naming its id.
    void idOfAnotherWorkspaceIsAnotherStream()
    {
        const stream_key own = streamKeyOf({"one", "s", "id"}, 1);
        CPPUNIT_ASSERT_EQUAL(own, streamKeyOf({"one", "s", "id"}, 1));
        CPPUNIT_ASSERT(own != streamKeyOf({"two", "s", "id"}, 1));
        CPPUNIT_ASSERT(own != streamKeyOf({"", "s", "id"}, 1));
        CPPUNIT_ASSERT(own != streamKeyOf({"one", "t", "id"}, 1));
        CPPUNIT_ASSERT(own != streamKeyOf({"one", "s", "id2"}, 1));
        CPPUNIT_ASSERT(own != streamKeyOf({"one", "s", "id"}, 2));
    }

    void messagesAreDecodedAsEncoded()
    {
        const origin_update update{1, 2, 300, 5000};
        const std::vector<origin_message> messages{update, origin_query{7, 8},
                                                   origin_reply{9, true, update},
                                                   origin_reply{10, false, {}}};
        for (const origin_message &each : messages)
            CPPUNIT_ASSERT(valueOf(decodeOriginMessage(valueOf(encode(each)))) == each);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(stream_origin_test);

} // namespace poplarspool::streams
