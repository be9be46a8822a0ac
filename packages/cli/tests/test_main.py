"""Tests of the command line against in-process services and fake VMs."""

import contextlib
import io
import json
import pathlib
import tempfile
import time
from collections.abc import AsyncIterator
from typing import Any

from parameterized import parameterized
from testtools import TestCase

from jaytray_cli.main import COMMANDS_BY_NAME, run
from jaytray_cli.results import ExitCode
from jaytray_cli.site import Site
from jaytray_core.document import store
from jaytray_core.document.keys import digest_key
from jaytray_core.document.model import Document
from jaytray_core.document.part_collection import COLLECTION_INTERVAL_VERSIONS
from jaytray_core.document.part_store import PARTS_PREFIX, strip_timestamp
from jaytray_core.document.parts import decode_head, document_of
from jaytray_core.vm_list import VmEntry, VmState
from jaytray_standins.faults import Fault, FaultKind, FaultSwitches
from jaytray_standins.in_process import in_process_key_value
from jaytray_standins.key_value.store import KeyValueStore

ROOT = pathlib.Path(__file__).resolve().parents[3]
LAKESHORE = str(ROOT / "examples" / "lakeshore.ini")
CONSORTIUM = str(ROOT / "examples" / "consortium.ini")
KEY_NAME = "rounds-app-1"


class FakeSite:
    """A site whose VMs run the version in force, except those in `lagging`."""

    def __init__(self) -> None:
        self.store = KeyValueStore(clock=time.monotonic)
        self.faults = FaultSwitches()
        self.environment_by_vm = {"t1": "trial", "t2": "trial", "p1": "production"}
        self.silent: set[str] = set()
        self.lagging: set[str] = set()
        self.leaving: set[str] = set()

    @contextlib.asynccontextmanager
    async def connect(self, _flags: Any) -> AsyncIterator[Site]:
        key_value = in_process_key_value(self.store, self.faults)
        yield Site(key_value, self.list_vms, self.call_vm)

    async def list_vms(self) -> list[VmEntry]:
        return [
            VmEntry(
                vm_id,
                "",
                "",
                "d",
                VmState.LEAVING if vm_id in self.leaving else VmState.LIVE,
            )
            for vm_id in self.environment_by_vm
        ]

    async def call_vm(self, vm: VmEntry, _method: str, path: str) -> Any:
        if vm.vm_id in self.silent:
            return None
        if path != "/admin/status":
            return [{"asked": path}]
        environment = self.environment_by_vm[vm.vm_id]
        record = self.store.get(store.head_key(environment))
        head = decode_head(record.value) if record else None
        version = head.version if head else 0
        return {
            "vm_id": vm.vm_id,
            "environment": environment,
            "document_version": version - (vm.vm_id in self.lagging),
            "body_digest": head.body_digest if head else "",
            "rejected_version": 0,
            "alarms": 0,
            "service_age_s": 0.1,
            "unreachable_models": ["m9"] if vm.vm_id == "t1" else [],
        }

    def call(self, *arguments: str) -> tuple[int, dict[str, Any]]:
        """Run a command line with --json and return its exit code and data."""
        stdout, stderr = io.StringIO(), io.StringIO()
        code = run(
            [*arguments, "--json"],
            connect=self.connect,
            stdout=stdout,
            stderr=stderr,
        )
        return code, json.loads(stdout.getvalue() or "{}")

    def document(self, environment: str) -> Document:
        """Return the document in force."""
        record = self.store.get(store.head_key(environment))
        assert record is not None
        parts = {
            r.key.removeprefix(PARTS_PREFIX): strip_timestamp(r.value)
            for r in self.store.get_prefix(PARTS_PREFIX)
        }
        return document_of(decode_head(record.value), parts)


class MainTests(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.site = FakeSite()

    def call(self, expected: ExitCode, *arguments: str) -> dict[str, Any]:
        """Run a command line, expect an exit code, and return the data."""
        code, data = self.site.call(*arguments)
        self.assertEqual(expected, code, f"{arguments}: {data}")
        return data

    def apply_and_promote(self) -> None:
        """Apply the Lakeshore document to trial and promote it to production."""
        self.call(ExitCode.DONE, "apply", LAKESHORE, "--based_on=0")
        self.call(ExitCode.DONE, "promote", "--based_on=0")

    @parameterized.expand([(name,) for name in COMMANDS_BY_NAME])
    def test_every_command_has_help(self, name: str) -> None:
        stdout = io.StringIO()
        code = run([*name.split(), "--help"], stdout=stdout)
        self.assertEqual(ExitCode.DONE, code)
        self.assertIn(f"usage: jaytray {name}", stdout.getvalue())

    @parameterized.expand(
        [
            ("unknown command", ["frobnicate"]),
            ("unknown flag", ["history", "--bogus"]),
            ("missing argument", ["check"]),
            ("missing file", ["check", "/nowhere.ini"]),
            ("no base version", ["apply", LAKESHORE]),
            ("production by apply", ["apply", LAKESHORE, "--environment=production"]),
            ("drain of an unknown kind", ["drain", "thing", "x"]),
            ("key without account", ["key", "create", "k"]),
        ]
    )
    def test_usage_errors(self, _name: str, arguments: list[str]) -> None:
        self.call(ExitCode.USAGE, *arguments)

    @parameterized.expand([(LAKESHORE,), (CONSORTIUM,)])
    def test_check_of_shipped_documents(self, path: str) -> None:
        self.assertEqual([], self.call(ExitCode.DONE, "check", path)["faults"])

    def test_apply_conflict_names_the_current_version(self) -> None:
        self.call(ExitCode.DONE, "apply", LAKESHORE, "--based_on=0", "--author=ann")
        data = self.call(ExitCode.CONFLICT, "apply", CONSORTIUM, "--based_on=0")
        self.assertIn("version 1 by ann", data["error"])

    def test_diff_and_history(self) -> None:
        self.call(ExitCode.DONE, "apply", LAKESHORE, "--based_on=0")
        self.assertEqual([], self.call(ExitCode.DONE, "diff", LAKESHORE)["changes"])
        text = pathlib.Path(LAKESHORE).read_text()
        changed = text.replace("_per_s = 3200", "_per_s = 3300").partition("[drain]")[0]
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        path = pathlib.Path(directory.name) / "changed.ini"
        path.write_text(changed)
        data = self.call(ExitCode.DONE, "diff", str(path))
        titles = [change["title"] for change in data["changes"]]
        self.assertEqual(["account hoofline-barns"], titles)
        base = f"--based_on={data['based_on']}"
        self.call(ExitCode.DONE, "apply", str(path), base)
        versions = self.call(ExitCode.DONE, "history")["versions"]
        self.assertEqual([2, 1], [version["version"] for version in versions])

    def test_key_in_force_keeps_its_account(self) -> None:
        self.call(ExitCode.DONE, "apply", LAKESHORE, "--based_on=0")
        data = self.call(ExitCode.FAULTS, "apply", CONSORTIUM, "--based_on=1")
        self.assertIn("[key hoofline-barns-1]", data["error"])

    def test_rollback_makes_a_higher_version_and_revives_no_key(self) -> None:
        self.apply_and_promote()
        self.call(ExitCode.DONE, "key", "withdraw", KEY_NAME)
        self.call(ExitCode.DONE, "rollback", "1", "--based_on=2")
        document = self.site.document("trial")
        self.assertEqual(3, document.version)
        self.assertNotIn(KEY_NAME, [k.name for k in document.keys_by_digest.values()])
        self.call(ExitCode.DONE, "apply", LAKESHORE, "--based_on=3")
        keys = self.site.document("trial").keys_by_digest.values()
        self.assertNotIn(KEY_NAME, [key.name for key in keys])

    def test_key_is_shown_once_and_stored_as_a_digest(self) -> None:
        self.apply_and_promote()
        create = ("key", "create", "k2", "--account=rounds-app")
        secret = self.call(ExitCode.DONE, *create)["secret"]
        for environment in ("trial", "production"):
            keys = self.site.document(environment).keys_by_digest
            self.assertEqual("rounds-app", keys[digest_key(secret)].account)
        stored = b"".join(r.value for r in self.site.store.get_prefix(""))
        self.assertNotIn(secret.encode(), stored)
        self.assertNotIn(secret, json.dumps(self.call(ExitCode.DONE, "key", "list")))
        self.call(ExitCode.REFUSED, *create)
        self.call(ExitCode.FAULTS, "key", "create", "k3", "--account=nobody")

    def test_withdraw_names_vms_that_have_not_confirmed(self) -> None:
        self.apply_and_promote()
        self.site.silent = {"t2"}
        self.site.lagging = {"p1"}
        withdraw = ("key", "withdraw", KEY_NAME, "--wait_s=0")
        data = self.call(ExitCode.UNCONFIRMED, *withdraw)
        self.assertEqual(
            (["t1"], ["p1", "t2"]), (data["confirmed"], data["unconfirmed"])
        )

    def test_promotion_is_exactly_the_body_of_trial(self) -> None:
        self.apply_and_promote()
        trial, production = map(self.site.document, ("trial", "production"))
        self.assertEqual(trial._replace(environment="production"), production)

    @parameterized.expand(
        [
            ("a VM lags", {"lagging": {"t2"}}, ExitCode.REFUSED),
            ("a VM is silent", {"silent": {"t1"}}, ExitCode.REFUSED),
            (
                "a lagging VM is leaving",
                {"lagging": {"t2"}, "leaving": {"t2"}},
                ExitCode.DONE,
            ),
            (
                "no VM of trial",
                {"environment_by_vm": {"p1": "production"}},
                ExitCode.REFUSED,
            ),
        ]
    )
    def test_promotion_needs_all_live_vms(
        self, _name: str, state: dict[str, Any], expected: ExitCode
    ) -> None:
        self.call(ExitCode.DONE, "apply", LAKESHORE, "--based_on=0")
        vars(self.site).update(state)
        self.call(expected, "promote", "--based_on=0")

    @parameterized.expand(
        [
            ("revives a key", ("key", "withdraw", KEY_NAME), "key_revived"),
            (
                "drops a key",
                ("key", "create", "new", "--account=rounds-app"),
                "key_dropped",
            ),
            ("ends a drain", ("drain", "vm", "p1"), "promotion_refused"),
        ]
    )
    def test_promotion_refuses_to_undo_changes_of_production(
        self, _name: str, change: tuple[str, ...], expected: str
    ) -> None:
        self.apply_and_promote()
        self.call(ExitCode.DONE, *change, "--environments=production")
        data = self.call(ExitCode.REFUSED, "promote", "--based_on=2")
        self.assertEqual(expected, data["code"])

    def test_drain_and_undo(self) -> None:
        self.apply_and_promote()
        self.call(ExitCode.DONE, "drain", "target", "toledo-1")
        self.assertTrue(
            self.site.document("trial").targets_by_name["toledo-1"].is_drained
        )
        self.call(ExitCode.DONE, "drain", "target", "toledo-1", "--undo")
        self.assertFalse(
            self.site.document("trial").targets_by_name["toledo-1"].is_drained
        )
        self.call(ExitCode.FAULTS, "drain", "target", "nowhere")

    def test_drain_that_leaves_too_little_memory_is_refused(self) -> None:
        self.apply_and_promote()
        for target in ("duluth-1", "duluth-2"):
            self.call(ExitCode.DONE, "drain", "target", target)
        data = self.call(ExitCode.FAULTS, "drain", "target", "green-bay-1")
        self.assertEqual("document_invalid", data["code"])

    def test_status_shows_silent_vms_and_what_is_unreachable(self) -> None:
        self.apply_and_promote()
        self.site.silent = {"p1"}
        data = self.call(ExitCode.UNCONFIRMED, "status")
        self.assertEqual({"trial": 1, "production": 1}, data["versions"])
        self.assertEqual((["p1"], ["m9"]), (data["silent"], data["unreachable"]))

    def test_version_is_above_running_ones_after_the_service_lost_writes(self) -> None:
        self.apply_and_promote()
        self.call(ExitCode.DONE, "drain", "vm", "x", "--environments=trial")
        record = self.site.store.get("documents/history/trial/0000000001")
        current = self.site.store.get(store.head_key("trial"))
        assert record is not None and current is not None
        self.site.lagging = {"t2"}
        lost = decode_head(record.value)
        version_by_vm = {"t1": 7, "t2": 7}

        async def call_vm(vm: VmEntry, _method: str, _path: str) -> Any:
            status = await FakeSite.call_vm(self.site, vm, "GET", "/admin/status")
            return {**status, "document_version": version_by_vm.get(vm.vm_id, 1)}

        self.site.call_vm = call_vm  # type: ignore[method-assign,assignment]
        self.site.store.compare_and_swap(
            current.key, current.revision, record.value, ""
        )
        self.call(ExitCode.DONE, "apply", LAKESHORE, f"--based_on={lost.version}")
        self.assertEqual(8, self.site.document("trial").version)

    def test_partial_change_is_reported(self) -> None:
        self.apply_and_promote()
        create = ("key", "create", "k2", "--account=rounds-app")
        self.call(ExitCode.DONE, *create, "--environments=trial")
        data = self.call(ExitCode.REFUSED, *create)
        self.assertEqual(["production"], [a["environment"] for a in data["applied"]])
        self.assertIn("secret", data)

    def test_withdraw_skips_environments_without_the_key(self) -> None:
        self.apply_and_promote()
        create = ("key", "create", "k2", "--account=rounds-app")
        self.call(ExitCode.DONE, *create, "--environments=production")
        data = self.call(ExitCode.DONE, "key", "withdraw", "k2")
        self.assertEqual(["production"], [a["environment"] for a in data["applied"]])
        self.call(ExitCode.REFUSED, "key", "withdraw", "nobody")

    def test_changes_collect_unused_parts(self) -> None:
        self.call(ExitCode.DONE, "apply", LAKESHORE, "--based_on=0")
        unused_key = f"{PARTS_PREFIX}{'0' * 32}"
        self.site.store.compare_and_swap(unused_key, 0, b"0\n[]", "")
        for number in range(COLLECTION_INTERVAL_VERSIONS - 1):
            self.assertIsNotNone(self.site.store.get(unused_key))
            self.call(ExitCode.DONE, "drain", "vm", f"v{number}", "--wait_s=0")
        self.assertIsNone(self.site.store.get(unused_key))
        self.assertIn("v1", self.site.document("trial").drained_vms)

    def test_unavailable_service(self) -> None:
        self.site.faults.set(Fault(FaultKind.DOWN))
        self.call(ExitCode.UNAVAILABLE, "history")

    def test_explain_and_quarantine_query_the_vms(self) -> None:
        responses = self.call(ExitCode.DONE, "explain", "r/1")["answers"]
        self.assertEqual([{"asked": "/admin/explain/r%2F1"}], responses["t1"])
        self.call(ExitCode.DONE, "quarantine", "list")
        self.call(ExitCode.DONE, "quarantine", "lift", "d")
