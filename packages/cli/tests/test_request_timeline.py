"""Tests of the timeline of a request, built from the logs of several VMs."""

import io
import pathlib
import tempfile

from testtools import TestCase

from jaytray_cli.main import run
from jaytray_cli.request_timeline import parse_line, request_timeline
from jaytray_cli.results import ExitCode


def line(seconds: float, vm: str, event: str, **fields: str) -> str:
    pairs = " ".join(f"{key}={value}" for key, value in fields.items())
    return f"timestamp=2026-05-04T14:11:{seconds}Z event={event} vm={vm} {pairs}"


LINES = "\n".join(
    (
        "  -1.0 a " + line(24.5, "a", "route_table_in_force", version="3"),
        line(25.0, "a", "target_failing", target="t1", detail='"reset by peer"'),
        line(25.0, "a", "target_failing", target="t9"),
        line(25.1, "b", "target_failing", target="t1"),
        line(25.2, "b", "placement_step", target="t2", model="m", makes_room_for="n"),
        line(25.3, "b", "placement_step", target="t2", model="o", makes_room_for=""),
        line(25.4, "a", "request_try_ended", request_id="r1", target="t1"),
        line(25.5, "a", "request_finished", request_id="r1", replica="m/a1"),
        line(25.6, "a", "request_finished", request_id="r2", replica="m"),
        line(45.6, "a", "store_lost"),
        "no line of ours",
    )
)


class TimelineTests(TestCase):
    def test_request_lines_and_relevant_state_changes(self) -> None:
        parsed = [line for text in LINES.splitlines() if (line := parse_line(text))]
        timeline = request_timeline("r1", reversed(parsed))
        self.assertEqual(
            [
                ("route_table_in_force", "a"),
                ("target_failing", "a"),
                ("placement_step", "b"),
                ("request_try_ended", "a"),
                ("request_finished", "a"),
            ],
            [(line.fields["event"], line.fields["vm"]) for line in timeline],
        )
        self.assertEqual("reset by peer", timeline[1].fields["detail"])

    def test_simultaneous_and_repeated_lines_are_kept(self) -> None:
        texts = (
            line(24.0, "a", "target_failing", target="t1"),
            line(24.5, "a", "target_failing", target="t1"),
            line(25.0, "a", "target_healthy", target="t1"),
            line(25.0, "a", "request_try_ended", request_id="r1", target="t1"),
            line(25.0, "a", "request_finished", request_id="r1", target="t1"),
        )
        parsed = [found for text in texts if (found := parse_line(text))]
        self.assertEqual(parsed, request_timeline("r1", parsed))

    def test_forecast_of_the_requests_model_is_kept(self) -> None:
        texts = (
            line(24.0, "b", "loads_forecast", ready_in_s="o:3.2,m:1.4"),
            line(24.5, "b", "loads_forecast", ready_in_s="o:2.7"),
            line(25.0, "a", "request_finished", request_id="r1", replica="m/a1"),
        )
        parsed = [found for text in texts if (found := parse_line(text))]
        self.assertEqual([parsed[0], parsed[2]], request_timeline("r1", parsed))

    def test_placement_is_left_out_for_rate_limited_requests(self) -> None:
        texts = (
            line(24.0, "b", "placement_step", model="m", makes_room_for=""),
            line(25.0, "a", "request_finished", request_id="r1", replica="m")
            + " outcome=rate_exceeded",
        )
        parsed = [found for text in texts if (found := parse_line(text))]
        self.assertEqual(parsed[1:], request_timeline("r1", parsed))

    def test_unknown_request_has_no_timeline(self) -> None:
        self.assertEqual([], request_timeline("r7", []))

    def test_command_reads_files(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            file = pathlib.Path(folder) / "a.log"
            file.write_text(LINES)
            out, err = io.StringIO(), io.StringIO()
            code = run(["explain", "logs", "r1", str(file)], stdout=out, stderr=err)
            self.assertEqual((ExitCode.DONE, ""), (code, err.getvalue()))
            self.assertIn("event=request_try_ended", out.getvalue())
            code = run(["explain", "logs", "r7", str(file)], stdout=out, stderr=err)
            self.assertEqual(ExitCode.UNCONFIRMED, code)
            code = run(["explain", "logs", "r1", "none"], stdout=out, stderr=err)
            self.assertEqual(ExitCode.USAGE, code)
