#include "known_red.h"

#include <cppunit/CompilerOutputter.h>
#include <cppunit/Test.h>
#include <cppunit/TestFailure.h>
#include <cppunit/TestResultCollector.h>
#include <cppunit/extensions/TestFactoryRegistry.h>
#include <cppunit/ui/text/TestRunner.h>

#include <iostream>

namespace {

/// From the root of the repository, where the tests are run.
constexpr char knownRedFile[] = "KNOWN-RED.txt";

/// @returns How many tests failed that are not known to; the others are printed.
int countNewFailures(const CppUnit::TestResultCollector &results)
{
    const auto knownRed = poplarspool::test::readKnownRed(knownRedFile);
    int failures = 0;
    for (const CppUnit::TestFailure *failure : results.failures()) {
        const std::string line =
                poplarspool::test::lineOf(knownRed, failure->failedTest()->getName());
        if (line.empty())
            ++failures;
        else
            std::cerr << "known red: " << line << '\n';
    }
    return failures;
}

} // namespace

/// Runs every suite registered in this test program; exits 0 only if at least one ran and all pass
/// but those that KNOWN-RED.txt lists.
int main()
{
    CppUnit::TextUi::TestRunner runner;
    CppUnit::Test *suite = CppUnit::TestFactoryRegistry::getRegistry().makeTest();
    const int cases = suite->countTestCases();
    runner.addTest(suite);
    runner.setOutputter(new CppUnit::CompilerOutputter(&runner.result(), std::cerr));
    runner.run("", false, true, false);
    return cases > 0 && countNewFailures(runner.result()) == 0 ? 0 : 1;
}
