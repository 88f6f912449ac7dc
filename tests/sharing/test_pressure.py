"""Guards against callers that are sent away for a moment's overload, or to and fro."""

from __future__ import annotations

import unittest

from camphorvalve.sharing.pressure import MIN_OVERLOADED_COUNT, PRESSED_S, Pressure


class PressureTest(unittest.TestCase):
    def test_short_overload(self) -> None:
        """Guards against sending callers away because of a single long turn of the loop."""
        pressure = Pressure()
        for number in range(20):
            pressure.measure(0.05 * number, is_overloaded=number % MIN_OVERLOADED_COUNT != 0)
            self.assertFalse(pressure.is_pressed(0.05 * number))

    def test_lasting_overload(self) -> None:
        """Guards against callers that return at the first moment without overload."""
        pressure = Pressure()
        for number in range(MIN_OVERLOADED_COUNT):
            pressure.measure(0.05 * number, is_overloaded=True)
        pressure.measure(0.2, is_overloaded=False)
        self.assertTrue(pressure.is_pressed(0.2))
        self.assertFalse(pressure.is_pressed(0.2 + PRESSED_S))


if __name__ == "__main__":
    unittest.main()
