import unittest

from boragedeck.process.relaying.crashes.crash_identity import (
    RequestTraits,
    family_of,
    fingerprint_of,
)
from boragedeck.process.relaying.crashes.crash_messages import (
    part_signature,
    request_signature,
)

REQUEST = ("org", b"GET", "h.example", b"/a/record?account=1", b"body")


def traits(fingerprint="fp", family="fam", parts=()):
    return RequestTraits("p", fingerprint, parts, family)


class FingerprintTest(unittest.TestCase):
    def test_requests_that_differ_in_one_field_have_different_fingerprints(self):
        others = ("other", b"DELETE", "other.example", b"/a/record?account=2", b"")
        fingerprints = {fingerprint_of(*REQUEST)}
        for index, other in enumerate(others):
            fields = list(REQUEST)
            fields[index] = other
            fingerprints.add(fingerprint_of(*fields))
        self.assertEqual(len(fingerprints), 1 + len(others))

    def test_repeat_has_the_same_fingerprint(self):
        self.assertEqual(fingerprint_of(*REQUEST), fingerprint_of(*REQUEST))

    def test_fields_are_kept_apart(self):
        first = fingerprint_of("ab", b"GET", "h", b"c", b"")
        self.assertNotEqual(first, fingerprint_of("a", b"GET", "h", b"bc", b""))
        self.assertNotEqual(family_of("ab", "c", b""), family_of("a", "bc", b""))

    def test_family_is_that_of_path_body_and_organisation(self):
        family = family_of("org", "/a/record", b"body")
        self.assertEqual(family, family_of("org", "/a/record", b"body"))
        for other in (
            ("other", "/a/record", b"body"),
            ("org", "/a/other", b"body"),
            ("org", "/a/record", b"other"),
        ):
            self.assertNotEqual(family, family_of(*other))


class RequestTraitsTest(unittest.TestCase):
    def test_has_its_request_family_and_parts(self):
        req = traits(parts=("x", "y"))
        for signature in (
            request_signature("p", "fp"),
            request_signature("p", "fam"),
            part_signature("p", "x"),
            part_signature("p", "x", "y"),
        ):
            self.assertTrue(req.has(signature))
        self.assertFalse(req.has(request_signature("other", "fp")))
        self.assertFalse(req.has(request_signature("p", "another")))
        self.assertFalse(req.has(part_signature("p", "x", "z")))

    def test_request_without_a_family_has_no_signature_for_it(self):
        self.assertEqual(traits(family="").signatures(), [request_signature("p", "fp")])
