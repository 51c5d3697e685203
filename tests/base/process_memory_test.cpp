#include "poplarspool/base/process_memory.h"

#include "clean_exit.h"

#include <cppunit/extensions/HelperMacros.h>
#include <memory>
#include <string>
#include <vector>

namespace poplarspool {

class process_memory_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(process_memory_test);
    CPPUNIT_TEST(freedBodiesAreReturnedToTheSystem);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against freed bodies that the allocator keeps between blocks that are in use.
    void freedBodiesAreReturnedToTheSystem()
    {
        test::expectCleanExit([] {
            constexpr std::size_t mebibyte = 1024UL * 1024;
            constexpr std::size_t bodies = 16;
            limitRetainedMemory();
            std::vector<std::unique_ptr<std::string>> between;
            // From the second round on, the allocator has seen large blocks being freed.
            for (int round = 0; round < 2; ++round) {
                std::vector<std::string> atWork;
                for (std::size_t i = 0; i < bodies; ++i) {
                    atWork.emplace_back(4 * mebibyte, 'x');
                    between.push_back(std::make_unique<std::string>(1024, 'y'));
                }
            }
            return currentProcessMemory().retained < static_cast<std::int64_t>(4 * mebibyte);
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(process_memory_test);

} // namespace poplarspool
