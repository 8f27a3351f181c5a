"""Certificates for tests, created with the openssl command."""

import subprocess

KEY_OPTIONS = ["-newkey", "ec", "-pkeyopt", "ec_paramgen_curve:prime256v1", "-nodes"]


def make_authority(folder, name):
    """Write the certificate and key of a certificate authority to a folder."""
    _run_openssl(
        *("req", "-x509", *KEY_OPTIONS, "-subj", f"/CN={name}", "-days", "2"),
        *("-keyout", folder / f"{name}.key", "-out", folder / f"{name}.pem"),
    )


def make_certificate(folder, name, authority):
    """Write a certificate signed by an authority; return its path and its key's."""
    cert, key = folder / f"{name}.pem", folder / f"{name}.key"
    request = folder / f"{name}.csr"
    subject = ("-subj", f"/CN={name}")
    _run_openssl("req", "-new", *KEY_OPTIONS, *subject, "-keyout", key, "-out", request)
    signer_options = (
        "-CA",
        folder / f"{authority}.pem",
        "-CAkey",
        folder / f"{authority}.key",
    )
    _run_openssl(
        "x509", "-req", "-in", request, *signer_options, "-days", "2", "-out", cert
    )
    return cert, key


def _run_openssl(*arguments):
    subprocess.run(["openssl", *arguments], check=True, capture_output=True)
