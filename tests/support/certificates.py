"""Certificates for tests, created with the openssl command."""

import subprocess

CURVE = ["-newkey", "ec", "-pkeyopt", "ec_paramgen_curve:prime256v1", "-nodes"]


def make_authority(folder, name):
    """Write the certificate and key of a certificate authority to a folder."""
    _openssl(
        *("req", "-x509", *CURVE, "-subj", f"/CN={name}", "-days", "2"),
        *("-keyout", folder / f"{name}.key", "-out", folder / f"{name}.pem"),
    )


def make_certificate(folder, name, authority):
    """Write a certificate signed by an authority; return its path and the key's path."""
    cert, key = folder / f"{name}.pem", folder / f"{name}.key"
    request = folder / f"{name}.csr"
    subject = ("-subj", f"/CN={name}")
    _openssl("req", "-new", *CURVE, *subject, "-keyout", key, "-out", request)
    signer = ("-CA", folder / f"{authority}.pem", "-CAkey", folder / f"{authority}.key")
    _openssl("x509", "-req", "-in", request, *signer, "-days", "2", "-out", cert)
    return cert, key


def _openssl(*arguments):
    subprocess.run(["openssl", *arguments], check=True, capture_output=True)
