#include "poplarspool/base/end_signal.h"

#include <cppunit/extensions/HelperMacros.h>
#include <csignal>
#include <thread>

namespace poplarspool {

class end_signal_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(end_signal_test);
    CPPUNIT_TEST(hangUpAsksForNewSettingsAndEndsNothing);
    CPPUNIT_TEST_SUITE_END();

public:
    /// An operator changes the settings file and sends SIGHUP, as is the custom. Unhandled, the
    /// signal ended the process at once, and with it all requests that it served.
    void hangUpAsksForNewSettingsAndEndsNothing()
    {
        // On a thread of its own, so that the signals stay as they are for the other tests.
        bool isReload = false;
        bool isEnd = false;
        std::thread serving([&] {
            blockSignals();
            raise(SIGHUP);
            isReload = waitForSignal() == process_signal::Reload;
            raise(SIGTERM);
            isEnd = waitForSignal() == process_signal::End;
        });
        serving.join();
        CPPUNIT_ASSERT(isReload && isEnd);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(end_signal_test);

} // namespace poplarspool
