#include "platform/limits.h"
#include "platform/packed_changes.h"
#include "poplarspool/peer/limits.h"

#include <cppunit/extensions/HelperMacros.h>
#include <random>
#include <string>
#include <vector>

namespace poplarspool::adapter {

class packed_changes_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(packed_changes_test);
    CPPUNIT_TEST(changesOfAnySizeAreJoined);
    CPPUNIT_TEST(malformedPiecesAreRejected);
    CPPUNIT_TEST(longestChangesAreLimited);
    CPPUNIT_TEST_SUITE_END();

public:
    void changesOfAnySizeAreJoined()
    {
        std::mt19937 random(1);
        std::vector<std::string> changes{"", "a"};
        for (const std::size_t size : {1'098U, 1'099U, 20'000U}) {
            changes.emplace_back();
            for (std::size_t i = 0; i < size; ++i)
                changes.back() += static_cast<char>(random());
        }
        const auto pieces = valueOf(packChanges(changes));
        CPPUNIT_ASSERT(pieces.size() >= 20);
        for (const std::string &piece : pieces)
            CPPUNIT_ASSERT(piece.size() < config::maxRelayedBytes);
        CPPUNIT_ASSERT(unpackChanges(pieces) == changes);
        CPPUNIT_ASSERT(unpackChanges({}) == std::vector<std::string>{});
    }

    void malformedPiecesAreRejected()
    {
        const auto pieces = valueOf(packChanges({std::string(5'000, 'a'), "b"}));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, pieces.size());
        const std::string &whole = pieces.front();
        for (std::size_t size = 0; size < whole.size(); ++size)
            CPPUNIT_ASSERT(!unpackChanges({whole.substr(0, size)}));
        CPPUNIT_ASSERT(!unpackChanges({"+" + whole.substr(1)}));
        CPPUNIT_ASSERT(!unpackChanges({std::string(".\xff\xff\xff\xff") + whole.substr(5)}));
        std::mt19937 random(1);
        for (int i = 0; i < 10'000; ++i) {
            std::string changed = whole;
            changed[random() % changed.size()] = static_cast<char>(random());
            unpackChanges({changed});
        }
    }

    void longestChangesAreLimited()
    {
        CPPUNIT_ASSERT(succeeded(packChanges({std::string(config::maxUnpackedBytes - 4, 'a')})));
        CPPUNIT_ASSERT(!succeeded(packChanges({std::string(config::maxUnpackedBytes, 'a')})));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(packed_changes_test);

} // namespace poplarspool::adapter
