"""Tests of the options that close connections whose remote end is gone."""

import socket

from testtools import TestCase

from jaytray_core.tcp_options import KeepAlive, set_keep_alive


class KeepAliveTests(TestCase):
    def test_user_timeout_leaves_time_for_all_probes(self) -> None:
        # The kernel gives up at the user timeout, whatever the number of probes.
        limits = KeepAlive(idle_s=1, interval_s=2, probes=3)
        with socket.socket() as connection:
            set_keep_alive(connection, limits)
            user_timeout_ms, idle_s, interval_s, probes = (
                connection.getsockopt(socket.IPPROTO_TCP, option)
                for option in (
                    socket.TCP_USER_TIMEOUT,
                    socket.TCP_KEEPIDLE,
                    socket.TCP_KEEPINTVL,
                    socket.TCP_KEEPCNT,
                )
            )
        self.assertEqual((1, 2, 3), (idle_s, interval_s, probes))
        self.assertEqual((idle_s + interval_s * probes) * 1000, user_timeout_ms)
